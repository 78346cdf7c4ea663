/* collector.c - trace collector that lists the spans it received. */
#include "standin.h"

#include <pthread.h>

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *S_spans;
static int S_port;
static bool S_down;

static const GOptionEntry S_flags[] = {
    {"port", 'p', 0, G_OPTION_ARG_INT, &S_port, "Port, 0 for any", "N"},
    G_OPTION_ENTRY_NULL};

/* Appends the spans of one OTLP/HTTP request; the lock is held. */
static void
S_append(const json_t *body)
{
    size_t i;
    size_t j;
    const json_t *resource;
    const json_t *scope;
    json_array_foreach(json_object_get(body, "resourceSpans"), i, resource)
    {
        json_array_foreach(json_object_get(resource, "scopeSpans"), j, scope)
        {
            json_array_extend(S_spans, json_object_get(scope, "spans"));
        }
    }
}

static enum MHD_Result
S_accept(const BsStandinCall *call)
{
    json_t *body = json_loads(call->body, 0, NULL);
    if (body == NULL) {
        return BsStandin_Reply(call, MHD_HTTP_BAD_REQUEST, json_object());
    }
    pthread_mutex_lock(&S_lock);
    S_append(body);
    pthread_mutex_unlock(&S_lock);
    json_decref(body);
    return BsStandin_Reply(call, MHD_HTTP_OK, json_object());
}

static enum MHD_Result
S_set_fault(const BsStandinCall *call)
{
    json_t *json = json_loads(call->body, 0, NULL);
    pthread_mutex_lock(&S_lock);
    S_down = json_is_true(json_object_get(json, "down"));
    pthread_mutex_unlock(&S_lock);
    json_decref(json);
    return BsStandin_Reply(call, MHD_HTTP_OK, json_object());
}

static bool
S_is_down(void)
{
    pthread_mutex_lock(&S_lock);
    bool down = S_down;
    pthread_mutex_unlock(&S_lock);
    return down;
}

static enum MHD_Result
S_handle(const BsStandinCall *call)
{
    if (BsStandin_Matches(call, "POST", "/v1/traces")) {
        return S_is_down() ? BsStandin_Reset(call) : S_accept(call);
    }
    if (BsStandin_Matches(call, "PUT", "/control/fault")) {
        return S_set_fault(call);
    }
    if (BsStandin_Matches(call, "GET", "/control/spans")) {
        pthread_mutex_lock(&S_lock);
        json_t *spans = json_deep_copy(S_spans);
        pthread_mutex_unlock(&S_lock);
        return BsStandin_Reply(call, MHD_HTTP_OK,
                               json_pack("{s:o}", "spans", spans));
    }
    return BsStandin_Reply(call, MHD_HTTP_NOT_FOUND, json_object());
}

int
BsStandinCollector_Main(int argc, char **argv)
{
    if (!BsStandin_ParseFlags(&argc, &argv, S_flags)) {
        return 2;
    }
    S_spans = json_array();
    return BsStandin_Serve(S_port, S_handle);
}
