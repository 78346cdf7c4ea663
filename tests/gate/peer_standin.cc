// Stand-in for another instance.
#include "peer_standin.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

const int64_t kReportPauseMs = 50;
const uint32_t kHeavy = 4096;

} // namespace

void
SendReport(int port, const BsGossipReport &report)
{
    GString *data = g_string_new(nullptr);
    g_string_set_size(data, BS_FLEET_MAX_BYTES - BS_GOSSIP_MAX_BYTES);
    memset(data->str, 0, data->len); // kind of datagram: report
    BsGossipReport_Encode(&report, data);
    sockaddr_in from = {};
    from.sin_family = AF_INET;
    from.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 8);
    sockaddr_in to = from;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons((uint16_t)port);
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    EXPECT_EQ(bind(fd, (sockaddr *)&from, sizeof(from)), 0);
    EXPECT_GT(sendto(fd, data->str, data->len, 0, (sockaddr *)&to, sizeof(to)),
              0);
    close(fd);
    g_string_free(data, TRUE);
}

PeerStandin::PeerStandin(int port, BsGossipReading reading)
    : thread_(&PeerStandin::Run, this, port, reading)
{
}

PeerStandin::~PeerStandin()
{
    stopping_ = true;
    thread_.join();
}

void
PeerStandin::Run(int port, BsGossipReading reading)
{
    BsGossipReport report;
    BsGossipReport_Init(&report);
    report.incarnation = 1;
    report.reading = reading;
    report.weight = kHeavy;
    report.data_centre = (uint32_t)BsTargets_Hash("z1");
    report.store_age_ms = 0;
    while (!stopping_) {
        report.sequence++;
        report.newest = newest_;
        report.store_age_ms += cut_off_ ? kReportPauseMs : 0;
        SendReport(port, report);
        std::this_thread::sleep_for(std::chrono::milliseconds(kReportPauseMs));
    }
    BsGossipReport_Clear(&report);
}
