/* script.h - runs a scenario file against a world. */
#ifndef SCRIPT_H
#define SCRIPT_H

#include "world.h"

/* Runs the scenario file at PATH and returns its output, which the caller
   frees with g_free(); NULL with ERROR set if the file cannot be read or a
   line cannot be parsed.  Sets FAILED to whether an expectation failed. */
char *Script_Run(const char *path, bool *failed, GError **error);

#endif /* SCRIPT_H */
