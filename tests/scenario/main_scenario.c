/*
 * main_scenario.c - runs scenarios and compares their output.
 *
 * scenario FILE.scn...         prints the output
 * scenario --check FILE.scn... compares it with FILE.out beside each
 */
#include "script.h"

#include <stdio.h>
#include <string.h>

static char *
S_expected_path(const char *path)
{
    size_t length = strlen(path);
    size_t stem = g_str_has_suffix(path, ".scn") ? length - 4 : length;
    return g_strdup_printf("%.*s.out", (int)stem, path);
}

static bool
S_matches(const char *path, const char *output)
{
    char *expected_path = S_expected_path(path);
    char *expected = NULL;
    bool same = g_file_get_contents(expected_path, &expected, NULL, NULL) &&
                strcmp(expected, output) == 0;
    if (!same) {
        printf("%s: output differs from %s\n--- expected\n%s--- seen\n%s",
               path, expected_path, expected == NULL ? "" : expected, output);
    }
    g_free(expected);
    g_free(expected_path);
    return same;
}

static bool
S_run(const char *path, bool check)
{
    GError *error = NULL;
    bool failed = false;
    char *output = Script_Run(path, &failed, &error);
    if (output == NULL) {
        printf("%s\n", error->message);
        g_error_free(error);
        return false;
    }
    bool ok = !failed;
    if (check) {
        ok = S_matches(path, output) && ok;
    }
    else {
        printf("%s", output);
    }
    g_free(output);
    return ok;
}

int
main(int argc, char **argv)
{
    bool check = argc > 1 && strcmp(argv[1], "--check") == 0;
    int failures = 0;
    for (int i = check ? 2 : 1; i < argc; i++) {
        failures += S_run(argv[i], check) ? 0 : 1;
    }
    return failures == 0 ? 0 : 1;
}
