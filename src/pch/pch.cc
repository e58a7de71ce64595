// Exists so that the precompiled header has a target to belong to.
#include "pch/pch.h"
