/* message.c - creation, copying and printing of messages. */
#include "boragespur.h"
#include "schema.h"

BsMessage *
BsMessage_Create(BsMessageKind kind)
{
    BsMessage *message = g_new0(BsMessage, 1);
    message->kind = kind;
    return message;
}

BsMessage *
BsMessage_Copy(const BsMessage *message)
{
    BsMessage *copy = BsMessage_Create(message->kind);
    const BsSchema *schema = BsSchema_OfKind(message->kind);
    copy->from = g_strdup(message->from);
    copy->to = g_strdup(message->to);
    copy->from_incarnation = message->from_incarnation;
    copy->to_incarnation = message->to_incarnation;
    if (schema != NULL) {
        BsSchema_Copy(schema, &copy->u, &message->u);
    }
    return copy;
}

void
BsMessage_Destroy(BsMessage *message)
{
    if (message == NULL) {
        return;
    }
    const BsSchema *schema = BsSchema_OfKind(message->kind);
    if (schema != NULL) {
        BsSchema_Clear(schema, &message->u);
    }
    g_free(message->from);
    g_free(message->to);
    g_free(message);
}

char *
BsMessage_Format(const BsMessage *message)
{
    GString *out = g_string_new(BsMessage_KindName(message->kind));
    const BsSchema *schema = BsSchema_OfKind(message->kind);
    if (message->from != NULL) {
        g_string_append_printf(out, " from=%s", message->from);
    }
    if (message->to != NULL) {
        g_string_append_printf(out, " to=%s", message->to);
    }
    if (schema != NULL) {
        BsSchema_Format(schema, &message->u, out);
    }
    return g_string_free(out, FALSE);
}

void
BsMessage_SetString(char **slot, const char *text)
{
    char *copy = g_strdup(text);
    g_free(*slot);
    *slot = copy;
}

BsListEntry *
BsListEntry_Create(void)
{
    return g_new0(BsListEntry, 1);
}
