/* Flow control of the starts that go out on one path: this VM's own connections to targets, or the
   link to a relay. It limits the starts in flight to what the path carries, from the times that
   answers take, and derives the timeout of a start from the same measurements. Without it a sender
   at its limit takes late answers for lost ones, repeats the orders, and carries less and less.

   The state is pure: the caller passes the time in ms. */
#pragma once

#include "base/gr_str.h"

typedef struct {
  double srtt_ms, rttvar_ms; /* smoothed time of an answer and its mean deviation; 0: no answer */
  int64_t floor_ms;          /* time of an answer without a queue on the path */
  int64_t next_floor_ms;
  int64_t floor_until;
  double lost_share; /* of the last starts; exponential moving average */
  double window;     /* most starts in flight */
  int in_flight;
  int64_t shortest_ms; /* time of the fastest answer up to interval_until; -1: no answer yet */
  int64_t interval_until;
} CellFlow;

void cell_flow_init (CellFlow *flow);
bool cell_flow_may_send (const CellFlow *flow);
/* Timeout of a start that is sent now. */
int64_t cell_flow_timeout_ms (const CellFlow *flow);
/* Input: a start was sent. One of the next three must follow. */
void cell_flow_sent (CellFlow *flow);
void cell_flow_answered (CellFlow *flow, int64_t rtt_ms, int64_t now_ms);
/* Input: the start was not sent after all. */
void cell_flow_not_sent (CellFlow *flow);
/* Input: a start got no answer. A share of the answers may be lost at any load; only if most are,
   the path counts as overloaded. */
void cell_flow_lost (CellFlow *flow, int64_t now_ms);
