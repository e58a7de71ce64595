// Drives callers against entry hosts and checks what was answered, run and
// billed.

#include "libs/load/load.h"

int main(int argc, char** argv) {
  return turmericwinch::RunLoad(argc, argv);
}
