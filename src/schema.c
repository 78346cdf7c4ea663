/* schema.c - field tables of the message payloads. */
#include "schema.h"

#include <string.h>

#define FIELD(tag, type, owner, member)                                       \
    {                                                                         \
        tag, #member, BS_FIELD_##type, offsetof(owner, member), NULL, false   \
    }
#define LOCAL(tag, type, owner, member)                                       \
    {                                                                         \
        tag, #member, BS_FIELD_##type, offsetof(owner, member), NULL, true    \
    }
#define LIST(tag, owner, member, schema)                                      \
    {                                                                         \
        tag, #member, BS_FIELD_LIST, offsetof(owner, member), &(schema),      \
            false                                                             \
    }
#define SCHEMA(owner, table, destroy)                                         \
    {                                                                         \
#owner, sizeof(owner), table, G_N_ELEMENTS(table), destroy            \
    }

/* Longest prefix of a byte string that BsSchema_Format() prints. */
#define FORMAT_BYTES_MAX 48

typedef struct {
    uint32_t kind;
    const char *name;
    const BsSchema *schema;
} BsKindRow;

static const BsField S_list_entry_fields[] = {
    FIELD(1, STRING, BsListEntry, name),
    FIELD(2, STRING, BsListEntry, address),
    FIELD(3, STRING, BsListEntry, data_centre),
    FIELD(4, STRING, BsListEntry, region),
    FIELD(5, STRING, BsListEntry, serves),
    FIELD(6, STRING, BsListEntry, generation),
    FIELD(7, U32, BsListEntry, kind),
    FIELD(8, U32, BsListEntry, state),
    FIELD(9, U32, BsListEntry, slots),
    FIELD(10, U32, BsListEntry, tokens),
};

static void
S_destroy_list_entry(void *object)
{
    BsSchema_Clear(&bs_schema_list_entry, object);
    g_free(object);
}

const BsSchema bs_schema_list_entry =
    SCHEMA(BsListEntry, S_list_entry_fields, S_destroy_list_entry);

static const BsField S_load_fields[] = {
    FIELD(1, STRING, BsLoad, serves),      FIELD(2, I64, BsLoad, free_tokens),
    FIELD(3, U32, BsLoad, free_slots),     FIELD(4, U32, BsLoad, waiting),
    FIELD(5, U32, BsLoad, oldest_wait_ms), FIELD(6, U32, BsLoad, lowest_rank),
};

static void
S_destroy_load(void *object)
{
    BsSchema_Clear(&bs_schema_load, object);
    g_free(object);
}

const BsSchema bs_schema_load = SCHEMA(BsLoad, S_load_fields, S_destroy_load);

static const BsField S_pace_fields[] = {
    FIELD(1, STRING, BsPace, generation),
    FIELD(2, U32, BsPace, inter_token_us),
};

static void
S_destroy_pace(void *object)
{
    BsSchema_Clear(&bs_schema_pace, object);
    g_free(object);
}

const BsSchema bs_schema_pace = SCHEMA(BsPace, S_pace_fields, S_destroy_pace);

static const BsField S_note_fields[] = {
    FIELD(1, STRING, BsNote, account),
    FIELD(2, STRING, BsNote, key),
    FIELD(3, STRING, BsNote, body_hash),
    FIELD(4, STRING, BsNote, request_id),
    FIELD(5, STRING, BsNote, keeper),
    FIELD(6, U64, BsNote, keeper_incarnation),
    FIELD(7, U32, BsNote, state),
    FIELD(8, I64, BsNote, age_ms),
    FIELD(9, U32, BsNote, outcome),
    FIELD(10, U32, BsNote, status),
    FIELD(11, STRING, BsNote, content_type),
    FIELD(12, BYTES, BsNote, answer),
};

static void
S_destroy_note(void *object)
{
    BsSchema_Clear(&bs_schema_note, object);
    g_free(object);
}

const BsSchema bs_schema_note = SCHEMA(BsNote, S_note_fields, S_destroy_note);

static const BsField S_in_flight_fields[] = {
    FIELD(1, STRING, BsInFlight, upstream),
    FIELD(2, U32, BsInFlight, requests),
    FIELD(3, U32, BsInFlight, tokens),
    FIELD(4, BOOL, BsInFlight, cold),
};

static void
S_destroy_in_flight(void *object)
{
    BsSchema_Clear(&bs_schema_in_flight, object);
    g_free(object);
}

const BsSchema bs_schema_in_flight =
    SCHEMA(BsInFlight, S_in_flight_fields, S_destroy_in_flight);

static const BsField S_loss_fields[] = {
    FIELD(1, STRING, BsLoss, name),
    FIELD(2, U64, BsLoss, incarnation),
    FIELD(3, I64, BsLoss, age_ms),
    FIELD(4, BOOL, BsLoss, clean),
};

static void
S_destroy_loss(void *object)
{
    BsSchema_Clear(&bs_schema_loss, object);
    g_free(object);
}

const BsSchema bs_schema_loss = SCHEMA(BsLoss, S_loss_fields, S_destroy_loss);

static const BsField S_request_fields[] = {
    FIELD(1, STRING, BsRequest, request_id),
    FIELD(2, STRING, BsRequest, account),
    LOCAL(3, STRING, BsRequest, token),
    FIELD(4, STRING, BsRequest, key),
    FIELD(5, STRING, BsRequest, ticket),
    FIELD(6, STRING, BsRequest, service),
    FIELD(7, STRING, BsRequest, model),
    FIELD(8, STRING, BsRequest, version),
    FIELD(9, STRING, BsRequest, method),
    FIELD(10, STRING, BsRequest, path),
    FIELD(11, STRING, BsRequest, content_type),
    FIELD(12, STRING, BsRequest, tier),
    FIELD(13, STRING, BsRequest, traceparent),
    FIELD(14, STRING, BsRequest, upstream),
    FIELD(15, BYTES, BsRequest, body),
    FIELD(16, I64, BsRequest, deadline_ms),
    FIELD(17, U64, BsRequest, prefix_hash),
    FIELD(18, U32, BsRequest, prompt_tokens),
    FIELD(19, U32, BsRequest, output_tokens),
    FIELD(20, U32, BsRequest, attempt),
    FIELD(21, U32, BsRequest, from_stage),
    FIELD(22, U32, BsRequest, stage),
    FIELD(23, U32, BsRequest, skip_events),
    FIELD(24, BOOL, BsRequest, idempotent),
    FIELD(25, BOOL, BsRequest, stream),
    FIELD(26, U32, BsRequest, crashes),
    FIELD(27, U64, BsRequest, seq),
    FIELD(28, U64, BsRequest, from_piece),
    FIELD(29, U64, BsRequest, prior_incarnation),
    FIELD(30, STRING, BsRequest, prior_keeper),
    FIELD(31, STRING, BsRequest, body_hash),
    FIELD(32, BOOL, BsRequest, resume),
};

static const BsSchema S_request_schema =
    SCHEMA(BsRequest, S_request_fields, NULL);

static const BsField S_answer_fields[] = {
    FIELD(1, STRING, BsAnswer, request_id),
    FIELD(2, STRING, BsAnswer, content_type),
    FIELD(3, STRING, BsAnswer, upstream),
    FIELD(4, STRING, BsAnswer, ticket),
    FIELD(5, STRING, BsAnswer, detail),
    FIELD(6, BYTES, BsAnswer, data),
    FIELD(7, U64, BsAnswer, seq),
    FIELD(8, U64, BsAnswer, queued_ms),
    FIELD(9, U32, BsAnswer, attempt),
    FIELD(10, U32, BsAnswer, to_stage),
    FIELD(11, U32, BsAnswer, status),
    FIELD(12, U32, BsAnswer, tokens),
    FIELD(13, U32, BsAnswer, cached_tokens),
    FIELD(14, U32, BsAnswer, outcome),
    FIELD(15, U32, BsAnswer, error),
    FIELD(16, U32, BsAnswer, retry_after_s),
    FIELD(17, BOOL, BsAnswer, final),
    FIELD(18, BOOL, BsAnswer, crashed),
    FIELD(19, STRING, BsAnswer, keeper),
    FIELD(20, U64, BsAnswer, keeper_incarnation),
    FIELD(21, STRING, BsAnswer, version),
};

static const BsSchema S_answer_schema =
    SCHEMA(BsAnswer, S_answer_fields, NULL);

static const BsField S_cancel_fields[] = {
    FIELD(1, STRING, BsCancel, request_id), FIELD(2, U32, BsCancel, attempt),
    FIELD(3, U32, BsCancel, to_stage),      FIELD(4, U32, BsCancel, reason),
    FIELD(5, U32, BsCancel, from_stage),
};

static const BsSchema S_cancel_schema =
    SCHEMA(BsCancel, S_cancel_fields, NULL);

static const BsField S_flow_fields[] = {
    FIELD(1, STRING, BsFlow, request_id),
    FIELD(2, U32, BsFlow, attempt),
    FIELD(3, U32, BsFlow, to_stage),
    FIELD(4, BOOL, BsFlow, paused),
};

static const BsSchema S_flow_schema = SCHEMA(BsFlow, S_flow_fields, NULL);

static const BsField S_accept_fields[] = {
    FIELD(1, STRING, BsAccept, request_id),
    FIELD(2, U32, BsAccept, attempt),
    FIELD(3, U32, BsAccept, to_stage),
    FIELD(4, BOOL, BsAccept, gone),
};

static const BsSchema S_accept_schema =
    SCHEMA(BsAccept, S_accept_fields, NULL);

static const BsField S_list_fields[] = {
    FIELD(1, U64, BsList, revision),
    LIST(2, BsList, entries, bs_schema_list_entry),
};

static const BsSchema S_list_schema = SCHEMA(BsList, S_list_fields, NULL);

static const BsField S_sheet_text_fields[] = {
    FIELD(1, U64, BsSheetText, revision),
    FIELD(2, U64, BsSheetText, base_revision),
    FIELD(3, BYTES, BsSheetText, text),
    FIELD(4, U32, BsSheetText, hash),
};

static const BsSchema S_sheet_text_schema =
    SCHEMA(BsSheetText, S_sheet_text_fields, NULL);

static const BsField S_report_fields[] = {
    FIELD(1, STRING, BsReport, upstream),
    FIELD(2, STRING, BsReport, loaded),
    FIELD(3, STRING, BsReport, boot_id),
    FIELD(4, U64, BsReport, fencing),
    FIELD(5, U32, BsReport, age_ms),
    FIELD(6, U32, BsReport, running),
    FIELD(7, U32, BsReport, waiting),
    FIELD(8, U32, BsReport, tokens),
    FIELD(9, BOOL, BsReport, reachable),
    FIELD(10, BOOL, BsReport, checks_fencing),
};

static const BsSchema S_report_schema =
    SCHEMA(BsReport, S_report_fields, NULL);

static const BsField S_order_fields[] = {
    FIELD(1, STRING, BsOrder, upstream), FIELD(2, STRING, BsOrder, verb),
    FIELD(3, STRING, BsOrder, model),    FIELD(4, STRING, BsOrder, version),
    FIELD(5, U64, BsOrder, fencing),
};

static const BsSchema S_order_schema = SCHEMA(BsOrder, S_order_fields, NULL);

static const BsField S_watch_fields[] = {
    FIELD(1, BOOL, BsWatch, sheet),
    FIELD(2, BOOL, BsWatch, list),
};

static const BsSchema S_watch_schema = SCHEMA(BsWatch, S_watch_fields, NULL);

static const BsField S_query_fields[] = {
    FIELD(1, STRING, BsQuery, query_id), FIELD(2, STRING, BsQuery, what),
    FIELD(3, STRING, BsQuery, argument), LOCAL(4, STRING, BsQuery, token),
    FIELD(5, STRING, BsQuery, account),
};

static const BsSchema S_query_schema = SCHEMA(BsQuery, S_query_fields, NULL);

static const BsField S_query_reply_fields[] = {
    FIELD(1, STRING, BsQueryReply, query_id),
    FIELD(2, BYTES, BsQueryReply, body),
    FIELD(3, U32, BsQueryReply, status),
};

static const BsSchema S_query_reply_schema =
    SCHEMA(BsQueryReply, S_query_reply_fields, NULL);

static const BsField S_drain_fields[] = {
    FIELD(1, I64, BsDrain, limit_ms),
};

static const BsSchema S_drain_schema = SCHEMA(BsDrain, S_drain_fields, NULL);

static const BsField S_span_fields[] = {
    FIELD(1, STRING, BsSpan, traceparent),
    FIELD(2, STRING, BsSpan, parent),
    FIELD(3, STRING, BsSpan, name),
    FIELD(4, STRING, BsSpan, request_id),
    FIELD(5, I64, BsSpan, start_ms),
    FIELD(6, I64, BsSpan, end_ms),
};

static const BsSchema S_span_schema = SCHEMA(BsSpan, S_span_fields, NULL);

static const BsField S_log_fields[] = {
    FIELD(1, U32, BsLog, priority),
    FIELD(2, STRING, BsLog, text),
};

static const BsSchema S_log_schema = SCHEMA(BsLog, S_log_fields, NULL);

static const BsField S_digest_fields[] = {
    FIELD(1, U64, BsDigest, sheet_revision),
    FIELD(2, U64, BsDigest, list_revision),
    LIST(3, BsDigest, loads, bs_schema_load),
    FIELD(4, U32, BsDigest, suspects),
    FIELD(5, BOOL, BsDigest, draining),
    LIST(6, BsDigest, paces, bs_schema_pace),
};

static const BsSchema S_digest_schema =
    SCHEMA(BsDigest, S_digest_fields, NULL);

static const BsField S_probe_fields[] = {
    FIELD(1, U64, BsProbe, seq),
    FIELD(2, I64, BsProbe, sent_ms),
    FIELD(3, U64, BsProbe, list_revision),
    FIELD(4, BOOL, BsProbe, denied),
    FIELD(5, U64, BsProbe, sheet_revision),
    FIELD(6, U64, BsProbe, settled_revision),
    FIELD(7, I64, BsProbe, age_ms),
    FIELD(8, U32, BsProbe, sheet_hash),
};

static const BsSchema S_probe_schema = SCHEMA(BsProbe, S_probe_fields, NULL);

static const BsField S_collect_fields[] = {
    FIELD(1, U64, BsCollect, list_revision),
    FIELD(2, U64, BsCollect, view_hash),
    FIELD(3, U64, BsCollect, round),
    FIELD(4, I64, BsCollect, age_ms),
    LIST(5, BsCollect, losses, bs_schema_loss),
};

static const BsSchema S_collect_schema =
    SCHEMA(BsCollect, S_collect_fields, NULL);

static const BsField S_collected_fields[] = {
    FIELD(1, U64, BsCollected, list_revision),
    FIELD(2, I64, BsCollected, age_ms),
    LIST(3, BsCollected, notes, bs_schema_note),
    LIST(4, BsCollected, in_flight, bs_schema_in_flight),
    LIST(5, BsCollected, losses, bs_schema_loss),
    FIELD(6, U64, BsCollected, view_hash),
    FIELD(7, U64, BsCollected, round),
    FIELD(8, I64, BsCollected, settled_ms),
    FIELD(9, I64, BsCollected, known_ms),
    FIELD(10, STRING, BsCollected, views),
};

static const BsSchema S_collected_schema =
    SCHEMA(BsCollected, S_collected_fields, NULL);

static const BsField S_suspect_fields[] = {
    FIELD(1, STRING, BsSuspect, fingerprint),
    FIELD(2, U32, BsSuspect, crashes),
    FIELD(3, BOOL, BsSuspect, cleared),
    FIELD(4, STRING, BsSuspect, instance),
};

static const BsSchema S_suspect_schema =
    SCHEMA(BsSuspect, S_suspect_fields, NULL);

static const BsKindRow S_kinds[] = {
    {BS_TICK, "tick", NULL},
    {BS_CALLER_REQUEST, "caller_request", &S_request_schema},
    {BS_CALLER_CANCEL, "caller_cancel", &S_cancel_schema},
    {BS_CALLER_FLOW, "caller_flow", &S_flow_schema},
    {BS_UPSTREAM_ANSWER, "upstream_answer", &S_answer_schema},
    {BS_UPSTREAM_REPORT, "upstream_report", &S_report_schema},
    {BS_PLATFORM_LIST, "platform_list", &S_list_schema},
    {BS_PLATFORM_SHEET, "platform_sheet", &S_sheet_text_schema},
    {BS_PLATFORM_DOWN, "platform_down", NULL},
    {BS_QUERY, "query", &S_query_schema},
    {BS_DRAIN, "drain", &S_drain_schema},
    {BS_CALLER_ANSWER, "caller_answer", &S_answer_schema},
    {BS_UPSTREAM_DISPATCH, "upstream_dispatch", &S_request_schema},
    {BS_UPSTREAM_CANCEL, "upstream_cancel", &S_cancel_schema},
    {BS_UPSTREAM_FLOW, "upstream_flow", &S_flow_schema},
    {BS_UPSTREAM_ORDER, "upstream_order", &S_order_schema},
    {BS_PLATFORM_WATCH, "platform_watch", &S_watch_schema},
    {BS_QUERY_REPLY, "query_reply", &S_query_reply_schema},
    {BS_SPAN, "span", &S_span_schema},
    {BS_LOG, "log", &S_log_schema},
    {BS_DRAINED, "drained", NULL},
    {BS_UPSTREAM_POLL, "upstream_poll", &S_report_schema},
    {BS_FORWARD, "forward", &S_request_schema},
    {BS_ACCEPT, "accept", &S_accept_schema},
    {BS_ANSWER, "answer", &S_answer_schema},
    {BS_CANCEL, "cancel", &S_cancel_schema},
    {BS_FLOW, "flow", &S_flow_schema},
    {BS_DIGEST, "digest", &S_digest_schema},
    {BS_PROBE, "probe", &S_probe_schema},
    {BS_PROBE_REPLY, "probe_reply", &S_probe_schema},
    {BS_COLLECT, "collect", &S_collect_schema},
    {BS_COLLECT_REPLY, "collect_reply", &S_collected_schema},
    {BS_WITNESS, "witness", &bs_schema_note},
    {BS_WITNESS_ACK, "witness_ack", &bs_schema_note},
    {BS_SHEET_PULL, "sheet_pull", &S_sheet_text_schema},
    {BS_SHEET_PUSH, "sheet_push", &S_sheet_text_schema},
    {BS_SUSPECT, "suspect", &S_suspect_schema},
    {BS_PEER_QUERY, "peer_query", &S_query_schema},
    {BS_PEER_REPLY, "peer_reply", &S_query_reply_schema},
    {BS_HANDOVER, "handover", &S_collected_schema},
    {BS_HANDOVER_ACK, "handover_ack", &S_probe_schema},
    {BS_LIST_PULL, "list_pull", &S_sheet_text_schema},
    {BS_LIST_PUSH, "list_push", &S_list_schema},
    {BS_WATCH_HANDOVER, "watch_handover", &S_watch_schema},
    {BS_CHECK, "check", &S_accept_schema},
};

static const BsKindRow *
S_find_kind(uint32_t kind)
{
    for (size_t i = 0; i < G_N_ELEMENTS(S_kinds); i++) {
        if (S_kinds[i].kind == kind) {
            return &S_kinds[i];
        }
    }
    return NULL;
}

const BsSchema *
BsSchema_OfKind(uint32_t kind)
{
    const BsKindRow *row = S_find_kind(kind);
    return row == NULL ? NULL : row->schema;
}

bool
BsSchema_KnowsKind(uint32_t kind)
{
    return S_find_kind(kind) != NULL;
}

bool
BsSchema_IsPeerKind(uint32_t kind)
{
    return kind >= BS_FORWARD && BsSchema_KnowsKind(kind);
}

const char *
BsMessage_KindName(uint32_t kind)
{
    const BsKindRow *row = S_find_kind(kind);
    return row == NULL ? "unknown" : row->name;
}

GPtrArray *
BsSchema_NewList(const BsSchema *schema)
{
    return g_ptr_array_new_with_free_func(schema->destroy);
}

void
BsSchema_Clear(const BsSchema *schema, void *object)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        const BsField *field = &schema->fields[i];
        void *slot = (char *)object + field->offset;
        switch (field->type) {
        case BS_FIELD_STRING:
            g_clear_pointer((char **)slot, g_free);
            break;
        case BS_FIELD_BYTES:
            g_clear_pointer((GBytes **)slot, g_bytes_unref);
            break;
        case BS_FIELD_LIST:
            g_clear_pointer((GPtrArray **)slot, g_ptr_array_unref);
            break;
        default:
            break;
        }
    }
}

static GPtrArray *
S_copy_list(const BsSchema *schema, GPtrArray *source)
{
    GPtrArray *list = BsSchema_NewList(schema);
    for (guint i = 0; i < source->len; i++) {
        void *element = g_malloc0(schema->size_bytes);
        BsSchema_Copy(schema, element, source->pdata[i]);
        g_ptr_array_add(list, element);
    }
    return list;
}

void
BsSchema_Copy(const BsSchema *schema, void *target, const void *source)
{
    memcpy(target, source, schema->size_bytes);
    for (size_t i = 0; i < schema->field_count; i++) {
        const BsField *field = &schema->fields[i];
        void *slot = (char *)target + field->offset;
        void **pointer = slot;
        switch (field->type) {
        case BS_FIELD_STRING:
            *pointer = g_strdup(*pointer);
            break;
        case BS_FIELD_BYTES:
            if (*pointer != NULL) {
                g_bytes_ref(*pointer);
            }
            break;
        case BS_FIELD_LIST:
            if (*pointer != NULL) {
                *pointer = S_copy_list(field->element, *pointer);
            }
            break;
        default:
            break;
        }
    }
}

static void
S_format_bytes(GBytes *bytes, GString *out)
{
    gsize size;
    const char *data = g_bytes_get_data(bytes, &size);
    gsize shown = MIN(size, FORMAT_BYTES_MAX);
    for (gsize i = 0; i < shown; i++) {
        char c = data[i];
        g_string_append_c(out, g_ascii_isprint(c) ? c : '.');
    }
    if (shown < size) {
        g_string_append_printf(out, "+%" G_GSIZE_FORMAT, size - shown);
    }
}

static void
S_format_list(const BsField *field, GPtrArray *list, GString *out)
{
    g_string_append_printf(out, " %s=[", field->name);
    for (guint i = 0; i < list->len; i++) {
        g_string_append(out, i == 0 ? "{" : " {");
        gsize start = out->len;
        BsSchema_Format(field->element, list->pdata[i], out);
        if (out->len > start) {
            g_string_erase(out, (gssize)start, 1);
        }
        g_string_append_c(out, '}');
    }
    g_string_append_c(out, ']');
}

static void
S_format_field(const BsField *field, const void *slot, GString *out)
{
    const void *pointer = NULL;
    switch (field->type) {
    case BS_FIELD_STRING:
        pointer = *(char *const *)slot;
        if (pointer != NULL) {
            g_string_append_printf(out, " %s=%s", field->name,
                                   (const char *)pointer);
        }
        break;
    case BS_FIELD_BYTES:
        pointer = *(GBytes *const *)slot;
        if (pointer != NULL) {
            g_string_append_printf(out, " %s=", field->name);
            S_format_bytes((GBytes *)pointer, out);
        }
        break;
    case BS_FIELD_LIST:
        pointer = *(GPtrArray *const *)slot;
        if (pointer != NULL) {
            S_format_list(field, (GPtrArray *)pointer, out);
        }
        break;
    case BS_FIELD_U64:
        if (*(const uint64_t *)slot != 0) {
            g_string_append_printf(out, " %s=%" G_GUINT64_FORMAT, field->name,
                                   *(const uint64_t *)slot);
        }
        break;
    case BS_FIELD_I64:
        if (*(const int64_t *)slot != 0) {
            g_string_append_printf(out, " %s=%" G_GINT64_FORMAT, field->name,
                                   *(const int64_t *)slot);
        }
        break;
    case BS_FIELD_U32:
        if (*(const uint32_t *)slot != 0) {
            g_string_append_printf(out, " %s=%u", field->name,
                                   *(const uint32_t *)slot);
        }
        break;
    case BS_FIELD_BOOL:
        if (*(const bool *)slot) {
            g_string_append_printf(out, " %s", field->name);
        }
        break;
    }
}

void
BsSchema_Format(const BsSchema *schema, const void *object, GString *out)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        const BsField *field = &schema->fields[i];
        S_format_field(field, (const char *)object + field->offset, out);
    }
}
