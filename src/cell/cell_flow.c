#include "cell/cell_flow.h"

/* Bounds of the timeout; before the first answer it is TIMEOUT_INITIAL_MS. */
#define TIMEOUT_MIN_MS 150
#define TIMEOUT_MAX_MS 1000
#define TIMEOUT_INITIAL_MS 250
/* Weights of one answer in srtt_ms and rttvar_ms, and the deviations added to srtt_ms, as in the
   retransmission timer of TCP. */
#define SRTT_WEIGHT 0.125
#define RTTVAR_WEIGHT 0.25
#define TIMEOUT_DEVIATIONS 4
/* More lost answers than this share mean that answers come after the timeout. The timeout then
   rises up to BACKOFF_FACTOR_MAX times. */
#define LOST_SHARE_HIGH 0.3
#define LOST_SHARE_WEIGHT 0.0625
#define BACKOFF_FACTOR_MAX 5
#define WINDOW_INITIAL 64
#define WINDOW_MIN 4
#define WINDOW_MAX 1024
/* If even the fastest answer of an interval took this much longer than the shortest one, a queue
   stands on the path. Single late answers may have waited for the sender itself. */
#define QUEUE_DELAY_MS 40
#define INTERVAL_MS 100
/* The window is lowered by this factor, at most once in an interval. */
#define LOWER_FACTOR 0.8
/* Growth of the window by one answer without delay, in starts. */
#define GROWTH 0.25
/* Period after which the shortest time is measured anew, since paths change. It rises by at most
   FLOOR_RISE_MS then: a path that is always at its limit has a queue in all its answers. */
#define FLOOR_PERIOD_MS 5000
#define FLOOR_RISE_MS 5

void
cell_flow_init (CellFlow *flow)
{
  *flow = (CellFlow){ .window = WINDOW_INITIAL, .shortest_ms = -1 };
}

bool
cell_flow_may_send (const CellFlow *flow)
{
  return flow->in_flight < (int) flow->window;
}

int64_t
cell_flow_timeout_ms (const CellFlow *flow)
{
  if (flow->srtt_ms <= 0)
    return TIMEOUT_INITIAL_MS;
  double base = flow->srtt_ms + TIMEOUT_DEVIATIONS * flow->rttvar_ms;
  if (base < TIMEOUT_MIN_MS)
    base = TIMEOUT_MIN_MS;
  if (flow->lost_share > LOST_SHARE_HIGH)
    base *= 1
            + (BACKOFF_FACTOR_MAX - 1) * (flow->lost_share - LOST_SHARE_HIGH)
                  / (1 - LOST_SHARE_HIGH);
  int64_t timeout = (int64_t) base;
  return timeout > TIMEOUT_MAX_MS ? TIMEOUT_MAX_MS : timeout;
}

void
cell_flow_sent (CellFlow *flow)
{
  flow->in_flight++;
}

static void
measure (CellFlow *flow, int64_t rtt_ms, int64_t now_ms)
{
  double rtt = (double) rtt_ms;
  if (flow->srtt_ms <= 0) {
    flow->srtt_ms = rtt > 0 ? rtt : 1;
    flow->rttvar_ms = rtt / 2;
  } else {
    double deviation = rtt > flow->srtt_ms ? rtt - flow->srtt_ms : flow->srtt_ms - rtt;
    flow->rttvar_ms += RTTVAR_WEIGHT * (deviation - flow->rttvar_ms);
    flow->srtt_ms += SRTT_WEIGHT * (rtt - flow->srtt_ms);
  }
  if (now_ms >= flow->floor_until) {
    bool first = flow->floor_until == 0;
    int64_t highest = first ? rtt_ms : flow->floor_ms + FLOOR_RISE_MS;
    flow->floor_ms = first || flow->next_floor_ms > highest ? highest : flow->next_floor_ms;
    flow->next_floor_ms = rtt_ms;
    flow->floor_until = now_ms + FLOOR_PERIOD_MS;
  }
  if (rtt_ms < flow->next_floor_ms)
    flow->next_floor_ms = rtt_ms;
  if (rtt_ms < flow->floor_ms)
    flow->floor_ms = rtt_ms;
}

static void
lower_window (CellFlow *flow)
{
  flow->window *= LOWER_FACTOR;
  if (flow->window < WINDOW_MIN)
    flow->window = WINDOW_MIN;
}

static void
begin_interval (CellFlow *flow, int64_t now_ms)
{
  flow->shortest_ms = -1;
  flow->interval_until = now_ms + INTERVAL_MS;
}

static void
raise_window (CellFlow *flow)
{
  /* A window that is hardly used says nothing about what the path carries. */
  if (2 * flow->in_flight < (int) flow->window)
    return;
  flow->window += GROWTH;
  if (flow->window > WINDOW_MAX)
    flow->window = WINDOW_MAX;
}

void
cell_flow_answered (CellFlow *flow, int64_t rtt_ms, int64_t now_ms)
{
  measure (flow, rtt_ms, now_ms);
  flow->lost_share -= LOST_SHARE_WEIGHT * flow->lost_share;
  if (flow->shortest_ms < 0 || rtt_ms < flow->shortest_ms)
    flow->shortest_ms = rtt_ms;
  if (rtt_ms <= flow->floor_ms + QUEUE_DELAY_MS)
    raise_window (flow);
  if (now_ms >= flow->interval_until) {
    if (flow->shortest_ms > flow->floor_ms + QUEUE_DELAY_MS)
      lower_window (flow);
    begin_interval (flow, now_ms);
  }
  flow->in_flight--;
}

void
cell_flow_not_sent (CellFlow *flow)
{
  flow->in_flight--;
}

void
cell_flow_lost (CellFlow *flow, int64_t now_ms)
{
  flow->in_flight--;
  flow->lost_share += LOST_SHARE_WEIGHT * (1 - flow->lost_share);
  if (flow->lost_share <= LOST_SHARE_HIGH || now_ms < flow->interval_until)
    return;
  lower_window (flow);
  begin_interval (flow, now_ms);
}
