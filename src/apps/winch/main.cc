// The operators' client.

#include "libs/operations/winch.h"

int main(int argc, char** argv) {
  return turmericwinch::RunWinch(argc, argv);
}
