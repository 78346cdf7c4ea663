// Lessors in a large fleet: the loss of one data centre leaves a quorum.
#include "boragespur.h"

extern "C" {
#include "schema.h"
#include "view.h"
}

#include <gtest/gtest.h>

#include <string>

namespace {

constexpr int kInstances = 60;

std::string
DataCentre(int index, int data_centres)
{
    return "dc" + std::to_string(index % data_centres);
}

BsView *
CreateView(int data_centres)
{
    BsList list = {1, BsSchema_NewList(&bs_schema_list_entry)};
    for (int i = 0; i < kInstances; i++) {
        BsListEntry *entry = BsListEntry_Create();
        entry->name = g_strdup(("i" + std::to_string(i)).c_str());
        entry->data_centre = g_strdup(DataCentre(i, data_centres).c_str());
        entry->region = g_strdup("north");
        entry->kind = BS_NODE_INSTANCE;
        entry->state = BS_NODE_LIVE;
        g_ptr_array_add(list.entries, entry);
    }
    BsView *view = BsView_Create(&list);
    g_ptr_array_unref(list.entries);
    return view;
}

// Returns the fewest lessors that any holder keeps when one data centre is
// lost.
guint
FewestRemaining(int data_centres)
{
    BsView *view = CreateView(data_centres);
    guint fewest = G_MAXUINT;
    for (int i = 0; i < kInstances; i++) {
        guint needed;
        std::string holder = "i" + std::to_string(i);
        GPtrArray *names = BsView_Lessors(view, holder.c_str(), &needed);
        for (int lost = 0; lost < data_centres; lost++) {
            guint remaining = 0;
            for (guint k = 0; k < names->len; k++) {
                const BsListEntry *entry = BsView_Find(
                    view, static_cast<const char *>(names->pdata[k]));
                remaining +=
                    DataCentre(lost, data_centres) != entry->data_centre;
            }
            fewest = MIN(fewest, remaining);
        }
        EXPECT_GE(names->len, needed);
        g_ptr_array_unref(names);
    }
    BsView_Destroy(view);
    return fewest;
}

TEST(Lessors, LossOfADataCentreLeavesAQuorum)
{
    for (int data_centres : {3, 4, 5, 7}) {
        EXPECT_GE(FewestRemaining(data_centres), guint{BS_VIEW_LESSORS_NEEDED})
            << data_centres;
    }
}

} // namespace
