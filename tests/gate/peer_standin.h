// Stand-in for another instance: sends reports to a gateway.
#ifndef PEER_STANDIN_H
#define PEER_STANDIN_H

#include <atomic>
#include <cstdint>
#include <thread>

extern "C" {
#include "fleetagent.h"
}

// Sends REPORT once to the peers' port PORT of the gateway on 127.0.0.1, from
// 127.0.0.9.
void SendReport(int port, const BsGossipReport &report);

// An instance of the gateway's data centre that comes before it as a reader of
// the store.  It reports READING, and that the store answers it, until it is
// told that it is cut off.
class PeerStandin {
  public:
    PeerStandin(int port, BsGossipReading reading);
    ~PeerStandin();
    // From now on the store does not answer it; it reports READING as before.
    void CutOff()
    {
        cut_off_ = true;
    }
    // From now on it reports that it holds an item of revision NEWEST.
    void SetNewest(uint64_t newest)
    {
        newest_ = newest;
    }

  private:
    void Run(int port, BsGossipReading reading);
    std::atomic<bool> cut_off_{false};
    std::atomic<uint64_t> newest_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

#endif // PEER_STANDIN_H
