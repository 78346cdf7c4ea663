/* script.h - runs a scenario file against a world. */
#ifndef SCRIPT_H
#define SCRIPT_H

#include "world.h"

/* Runs the scenario at PATH and returns what it printed; NULL with ERROR set
   when a line cannot be parsed.  FAILED is set when an expectation failed. */
char *Script_Run(const char *path, bool *failed, GError **error);

#endif /* SCRIPT_H */
