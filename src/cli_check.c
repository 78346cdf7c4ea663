/* cli_check.c - the subcommand check. */
#include "cli_command.h"

#include "gatesettings.h"
#include "settings.h"
#include "sheet.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Returns whether TEXT is a sheet: only sheets have a top-level key format,
   tiers or accounts. */
static bool
S_is_sheet(const char *text)
{
    return g_regex_match_simple("^(format|tiers|accounts)\\s*:", text,
                                G_REGEX_MULTILINE, 0);
}

/* Returns whether TEXT is the settings of a gateway: only those have a
   top-level key store, data_centres or bounds. */
static bool
S_is_gateway_settings(const char *text)
{
    return g_regex_match_simple("^(store|data_centres|bounds)\\s*:", text,
                                G_REGEX_MULTILINE, 0);
}

static bool
S_check_gateway(const char *file, GError **error)
{
    BsGateSettings *settings = BsGateSettings_Load(file, error);
    BsGateSettings_Destroy(settings);
    return settings != NULL;
}

static bool
S_check_sheet(const char *file, const char *text, size_t size, GError **error)
{
    BsSheet *sheet = BsSheet_Parse(text, size, error);
    if (sheet == NULL) {
        g_prefix_error(error, "%s: ", file);
        return false;
    }
    BsSheet_Destroy(sheet);
    return true;
}

static bool
S_check_settings(const char *file, GError **error)
{
    BsSettings *settings = BsSettings_Load(file, error);
    BsSettings_Destroy(settings);
    return settings != NULL;
}

static void
S_print(const BsCommandOptions *options, const char *file, const char *kind,
        const GError *error)
{
    if (options->json) {
        json_t *json = json_pack("{s:s, s:s, s:b, s:s?}", "file", file, "kind",
                                 kind, "valid", error == NULL, "message",
                                 error == NULL ? NULL : error->message);
        json_dumpf(json, stdout, JSON_COMPACT);
        fputc('\n', stdout);
        json_decref(json);
    }
    else if (error == NULL) {
        printf("%s: valid %s\n", file, kind);
    }
    else {
        fprintf(stderr, "boragespur: %s\n", error->message);
    }
}

int
BsCommand_Check(const BsCommandOptions *options, const char *file)
{
    GError *error = NULL;
    char *text = NULL;
    gsize size = 0;
    bool readable = g_file_get_contents(file, &text, &size, NULL);
    bool sheet = readable && S_is_sheet(text);
    bool gateway = readable && !sheet && S_is_gateway_settings(text);
    bool valid = sheet     ? S_check_sheet(file, text, size, &error)
                 : gateway ? S_check_gateway(file, &error)
                           : S_check_settings(file, &error);
    S_print(options, file,
            sheet     ? "sheet"
            : gateway ? "gateway settings"
                      : "settings",
            error);
    g_clear_error(&error);
    g_free(text);
    return valid ? BS_EXIT_OK : BS_EXIT_USAGE;
}
