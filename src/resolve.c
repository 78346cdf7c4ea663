/*
 * resolve.c - resolves a caller's request against the current sheet.
 *
 * Rules: the account is taken only from the bearer token; a tier above the
 * account's own is lowered to it; a request to a service is idempotent only
 * if its route is declared so.
 */
#include "entrystate.h"
#include "once.h"
#include "token.h"

/* Longest deadline of a request, in ms. */
#define DEADLINE_MAX_MS (24 * 3600 * 1000)

/* Resolves service or model, default tier and idempotence from SHEET. */
static BsErrorKind
S_resolve_target(const BsSheet *sheet, BsRequest *request,
                 const BsAccount *account)
{
    const char *tier = account->tier;
    request->idempotent = true;
    if (request->service != NULL) {
        const BsService *service =
            BsSheet_FindService(sheet, request->service);
        if (service == NULL) {
            return BS_ERR_UNKNOWN_SERVICE;
        }
        const BsRoute *route =
            BsSheet_FindRoute(service, request->method, request->path);
        request->idempotent = route != NULL && route->idempotent;
        tier =
            route != NULL && route->tier != NULL ? route->tier : service->tier;
    }
    else {
        const BsModel *model = BsSheet_FindModel(sheet, request->model);
        if (model == NULL) {
            return BS_ERR_UNKNOWN_MODEL;
        }
        if (request->output_tokens == 0) {
            request->output_tokens = model->output_tokens;
        }
    }
    if (request->tier == NULL && tier != NULL) {
        request->tier = g_strdup(tier);
    }
    return BS_ERR_NONE;
}

/* Returns the least urgent tier of SHEET. */
static const BsTier *
S_last_tier(const BsSheet *sheet)
{
    const BsSheetData *data = BsSheet_Data(sheet);
    const BsTier *last = &data->tiers[0];
    for (unsigned i = 1; i < data->tiers_count; i++) {
        if (data->tiers[i].rank > last->rank) {
            last = &data->tiers[i];
        }
    }
    return last;
}

/* Sets the granted tier and the deadline, relative to now. */
static BsErrorKind
S_resolve_tier(const BsSheet *sheet, BsRequest *request,
               const BsAccount *account)
{
    if (request->tier == NULL) {
        request->tier = g_strdup(S_last_tier(sheet)->name);
    }
    const BsTier *tier = BsSheet_FindTier(sheet, request->tier);
    const BsTier *best = BsSheet_FindTier(sheet, account->tier);
    if (tier == NULL) {
        return BS_ERR_UNKNOWN_TIER;
    }
    if (best != NULL && tier->rank < best->rank) {
        BsMessage_SetString(&request->tier, best->name);
        tier = best;
    }
    if (request->deadline_ms <= 0) {
        request->deadline_ms = tier->deadline_ms;
    }
    request->deadline_ms = MIN(request->deadline_ms, DEADLINE_MAX_MS);
    return BS_ERR_NONE;
}

BsErrorKind
BsEntry_Resolve(BsEntry *entry, BsRequest *request)
{
    const BsSheet *sheet = BsCore_Sheet(entry->core);
    if (sheet == NULL || BsMembers_List(entry->core->members) == NULL) {
        return BS_ERR_NOT_READY;
    }
    g_free(request->account);
    request->account =
        BsToken_Resolve(sheet, entry->core->config.secret, request->token);
    const BsAccount *account = BsSheet_FindAccount(sheet, request->account);
    if (account == NULL) {
        return BS_ERR_UNAUTHORIZED;
    }
    BsErrorKind error = S_resolve_target(sheet, request, account);
    if (error != BS_ERR_NONE) {
        return error;
    }
    if (!request->idempotent) {
        error = BsOnce_Prepare(entry->core, request);
    }
    if (error != BS_ERR_NONE) {
        return error;
    }
    request->from_stage = BS_STAGE_ENTRY;
    request->stage = request->idempotent ? BS_STAGE_OWNER : BS_STAGE_KEEPER;
    return S_resolve_tier(sheet, request, account);
}
