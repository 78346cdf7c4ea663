/* yamlreport.c - collects the error messages of libcyaml. */
#include "yamlreport.h"

/* Later messages are ignored: they only repeat the position in the file. */
#define REPORT_MAX_BYTES 400

/* Log function for libcyaml: appends the error and its position to the report
   in CONTEXT. */
static void
S_collect_log(cyaml_log_t level, void *context, const char *format,
              va_list args)
{
    GString *report = context;
    if (level < CYAML_LOG_ERROR || report->len > REPORT_MAX_BYTES) {
        return;
    }
    char *line = g_strdup_vprintf(format, args);
    g_strstrip(line);
    if (!g_str_has_prefix(line, "Load: Backtrace")) {
        g_string_append_printf(report, "%s%s", report->len > 0 ? "; " : "",
                               line);
    }
    g_free(line);
}

cyaml_config_t
BsYamlReport_Config(GString *report, cyaml_cfg_flags_t flags)
{
    cyaml_config_t config = {
        .log_fn = S_collect_log,
        .log_ctx = report,
        .mem_fn = cyaml_mem,
        .log_level = CYAML_LOG_ERROR,
        .flags = flags,
    };
    return config;
}
