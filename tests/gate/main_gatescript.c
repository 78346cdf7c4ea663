/*
 * main_gatescript.c - scripted runs of the gateway's decision modules.
 *
 * gatescript [--check] SCRIPT: prints the output of the script's commands, or
 * compares it with the file of the same name that ends in .out.  There is no
 * network and no clock: the command "at MS" sets the time.
 */
#include "gatescript.h"

#include <stdio.h>
#include <string.h>

/* Compares OUTPUT with the .out file of the script PATH; returns the exit
   code. */
static int
S_check(const char *path, const GString *output)
{
    char *expected_path = g_strndup(path, strlen(path) - strlen(".scn"));
    char *name = g_strconcat(expected_path, ".out", NULL);
    char *expected = NULL;
    int code = 0;
    if (!g_file_get_contents(name, &expected, NULL, NULL) ||
        strcmp(expected, output->str) != 0) {
        fprintf(stderr, "%s differs; the run printed:\n%s", name, output->str);
        code = 1;
    }
    g_free(expected);
    g_free(name);
    g_free(expected_path);
    return code;
}

int
main(int argc, char **argv)
{
    bool check = argc == 3 && strcmp(argv[1], "--check") == 0;
    if (argc != 2 && !check) {
        fputs("usage: gatescript [--check] SCRIPT\n", stderr);
        return 2;
    }
    const char *path = argv[argc - 1];
    GString *output = g_string_new(NULL);
    int code = 0;
    if (!GateScript_Run(path, output)) {
        code = 2;
    }
    else if (check) {
        code = S_check(path, output);
    }
    else {
        fputs(output->str, stdout);
    }
    g_string_free(output, TRUE);
    return code;
}
