/* sheetstore.c - the sheet in force. */
#include "sheetstore.h"

#include <syslog.h>

struct BsSheetStore {
    BsCore *core;
    BsSheet *sheet;
    uint64_t revision;
    uint64_t refused_revision; /* highest refused, to log it once */
};

BsSheetStore *
BsSheetStore_Create(BsCore *core)
{
    BsSheetStore *store = g_new0(BsSheetStore, 1);
    store->core = core;
    return store;
}

void
BsSheetStore_Destroy(BsSheetStore *store)
{
    if (store == NULL) {
        return;
    }
    BsSheet_Destroy(store->sheet);
    g_free(store);
}

const BsSheet *
BsSheetStore_Current(const BsSheetStore *store)
{
    return store->sheet;
}

uint64_t
BsSheetStore_Revision(const BsSheetStore *store)
{
    return store->revision;
}

static void
S_refuse(BsSheetStore *store, uint64_t revision, const GError *error)
{
    BsCore_Count(store->core, "sheets_refused", 1);
    if (revision > store->refused_revision) {
        store->refused_revision = revision;
        BsCore_Log(store->core, LOG_ERR,
                   "sheet revision %" G_GUINT64_FORMAT " refused: %s",
                   revision, error->message);
    }
}

static void
S_accept(BsSheetStore *store, const BsSheetText *text)
{
    GError *error = NULL;
    if (text->text == NULL || text->revision <= store->revision) {
        BsCore_Count(store->core, "sheets_ignored", 1);
        return;
    }
    gsize size;
    const char *data = g_bytes_get_data(text->text, &size);
    BsSheet *sheet = BsSheet_Parse(data, size, &error);
    if (sheet == NULL) {
        S_refuse(store, text->revision, error);
        g_error_free(error);
        return;
    }
    BsSheet_Destroy(store->sheet);
    store->sheet = sheet;
    store->revision = text->revision;
    BsCore_Count(store->core, "sheets_accepted", 1);
    BsCore_Log(store->core, LOG_NOTICE,
               "sheet revision %" G_GUINT64_FORMAT " in force",
               text->revision);
}

void
BsSheetStore_OnMessage(BsSheetStore *store, const BsMessage *message)
{
    if (message->kind == BS_PLATFORM_SHEET) {
        S_accept(store, &message->u.sheet);
    }
}

void
BsSheetStore_OnTick(BsSheetStore *store)
{
    (void)store;
}

void
BsSheetStore_OnRevision(BsSheetStore *store, const BsMessage *message,
                        uint64_t revision)
{
    (void)store;
    (void)message;
    (void)revision;
}

bool
BsSheetStore_IsBehind(const BsSheetStore *store)
{
    (void)store;
    return false;
}
