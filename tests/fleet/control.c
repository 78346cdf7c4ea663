/* control.c - blocking HTTP calls of the test drivers. */
#include "control.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#define TIMEOUT_MS 5000L
#define METRIC_PREFIX "boragespur_"

static size_t
S_collect(char *data, size_t size, size_t count, void *context)
{
    g_string_append_len(context, data, (gssize)(size * count));
    return size * count;
}

long
BsControl_Call(const char *method, int port, const char *path,
               const char *body, char **text)
{
    long status = 0;
    CURL *curl = curl_easy_init();
    GString *answer = g_string_new(NULL);
    char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, path);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, S_collect);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(curl);
    g_free(url);
    if (text != NULL) {
        *text = g_string_free(answer, FALSE);
    }
    else {
        g_string_free(answer, TRUE);
    }
    return status;
}

json_t *
BsControl_GetJson(int port, const char *path)
{
    char *text = NULL;
    BsControl_Call("GET", port, path, NULL, &text);
    json_t *json = json_loads(text, 0, NULL);
    g_free(text);
    return json;
}

/* Returns the value on LINE if it belongs to the metric NAME, else 0. */
static long long
S_read_line(const char *line, const char *name)
{
    size_t length = strlen(name);
    if (!g_str_has_prefix(line, METRIC_PREFIX)) {
        return 0;
    }
    line += strlen(METRIC_PREFIX);
    const char *value = strrchr(line, ' ');
    if (strncmp(line, name, length) != 0 || value == NULL ||
        (line[length] != ' ' && line[length] != '{')) {
        return 0;
    }
    return g_ascii_strtoll(value, NULL, 10);
}

long long
BsControl_Metric(int port, const char *name)
{
    char *text = NULL;
    long long sum = -1;
    if (BsControl_Call("GET", port, "/metrics", NULL, &text) == 200) {
        char **lines = g_strsplit(text, "\n", -1);
        sum = 0;
        for (char **line = lines; *line != NULL; line++) {
            sum += S_read_line(*line, name);
        }
        g_strfreev(lines);
    }
    g_free(text);
    return sum;
}
