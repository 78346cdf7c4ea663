/* order.c - orders that bring engines to the sheet's model versions. */
#include "order.h"

struct BsOrders {
    BsCore *core;
};

BsOrders *
BsOrders_Create(BsCore *core)
{
    BsOrders *orders = g_new0(BsOrders, 1);
    orders->core = core;
    return orders;
}

void
BsOrders_Destroy(BsOrders *orders)
{
    g_free(orders);
}

bool
BsOrder_IsCurrent(const BsOrders *orders, const char *upstream,
                  const char *model)
{
    (void)orders;
    (void)upstream;
    (void)model;
    return true;
}

void
BsOrders_OnReport(BsOrders *orders, const BsMessage *message)
{
    (void)orders;
    (void)message;
}

void
BsOrders_OnTick(BsOrders *orders)
{
    (void)orders;
}
