#include "gooseberrydrum/limits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOKENS_PER_FLOW 1000000 /* tokens per new flow */
/* Number of entries of remote_closed_history, which delays remote_closed by
   one idle limit; each entry covers an equal part of it. */
#define DELAY_ENTRIES 16

/* Report rounds after which the unchanged numbers of a customer are reported
   again, for members that missed the last report. */
#define REPEAT_ROUNDS 30

/* Newest report of a member. */
typedef struct
{
  uint32_t demand;
  int32_t open;
  int32_t growth; /* change of open between the newest two reports */
  bool is_known;  /* whether the member has reported */
} member_report_t;

typedef struct
{
  uint64_t id;
  gbd_plan_t plan;
  /* Flows of the customer, counted by this instance. */
  int64_t opened;            /* flows admitted */
  int64_t closed;            /* flows opened and closed at this instance */
  int64_t idle;              /* flows opened at this instance that expired */
  int64_t remote_closed;     /* flows closed at this instance, but opened at
                                another */
  int64_t remote_closed_due; /* value of remote_closed one idle limit ago */
  /* Ring buffer of earlier values of remote_closed. */
  int64_t remote_closed_history[DELAY_ENTRIES];
  uint32_t delay_index;
  gbd_time_t delay_due;
  uint32_t demand;              /* new flows requested in this round so far */
  uint32_t last_demand;         /* new flows requested in the previous round */
  uint32_t admitted_this_round; /* new flows admitted in this round so far */
  gbd_limits_report_t reported; /* newest report of this instance */
  int32_t growth; /* change of open between the newest two reports */
  bool has_reported;
  uint32_t rounds_since_report;
  int64_t departed_open;     /* open flows that departed members reported */
  gbd_time_t departed_until; /* end of departed_open: one idle limit after the
                                last departure */
  /* Share of this instance in the limits of the customer. */
  uint32_t share;            /* new flows per second */
  uint32_t open_flows_left;  /* open flows that may be added in this round */
  uint32_t group_open_flows; /* open flows of the group */
  int64_t tokens;            /* token bucket, in millionths of a new flow */
  gbd_time_t refilled_at;
  uint64_t admitted;
  uint64_t refused;
  member_report_t reports[GBD_INCARNATIONS_MAX];
} customer_t;

struct gbd_limits
{
  gbd_instance_id_t self;
  gbd_time_t round_at;
  uint32_t member_count;
  gbd_instance_id_t members[GBD_INCARNATIONS_MAX];
  uint32_t customer_count;
  customer_t *customers;
};

static bool admits (const void *data, uint32_t customer, gbd_time_t now);
static void opened (void *data, uint32_t customer, gbd_time_t now);
static void ended (void *data, uint32_t customer, gbd_flow_end_t end,
                   gbd_time_t now);
static customer_t *find_customer (gbd_limits_t *limits, uint64_t id);
static int find_member (const gbd_limits_t *limits, gbd_instance_id_t id);
static void reorder_reports (const gbd_limits_t *limits, customer_t *customer,
                             const gbd_instance_id_t *members, uint32_t count);
static int32_t added_open (const customer_t *customer);
static void advance_delay (customer_t *customer, gbd_time_t now);
static void compute_share (const gbd_limits_t *limits, customer_t *customer);
static int64_t tokens_at (const customer_t *customer, gbd_time_t now);
static int64_t get_token_capacity (const customer_t *customer);
static void count_request (customer_t *customer, bool is_admitted);

const gbd_admission_t gbd_limits_admission = {
  .admits = admits,
  .opened = opened,
  .ended = ended,
};

gbd_limits_t *
gbd_limits_new (gbd_instance_id_t self, gbd_time_t now)
{
  gbd_limits_t *limits = calloc (1, sizeof *limits);
  if (!limits)
    return NULL;
  limits->self = self;
  limits->round_at = now;
  limits->members[0] = self;
  limits->member_count = 1;
  return limits;
}

void
gbd_limits_delete (gbd_limits_t *limits)
{
  if (!limits)
    return;
  free (limits->customers);
  free (limits);
}

gbd_status_t
gbd_limits_set_catalog (gbd_limits_t *limits, const gbd_catalog_t *catalog)
{
  uint32_t count = gbd_catalog_get_customer_count (catalog);
  customer_t *customers = calloc (count + 1, sizeof *customers);
  if (!customers)
    return GBD_ERROR_MEMORY;
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_customer_info_t *info = gbd_catalog_get_customer (catalog, i);
      uint64_t id = gbd_limits_customer_id (info->name);
      const customer_t *previous = find_customer (limits, id);
      if (previous)
        customers[i] = *previous;
      customers[i].id = id;
      customers[i].plan = *gbd_catalog_get_plan (catalog, info->plan);
      compute_share (limits, &customers[i]);
      if (!previous)
        customers[i].tokens = get_token_capacity (&customers[i]);
    }
  free (limits->customers);
  limits->customers = customers;
  limits->customer_count = count;
  return GBD_OK;
}

void
gbd_limits_set_members (gbd_limits_t *limits, const gbd_instance_id_t *members,
                        uint32_t count)
{
  if (count > GBD_INCARNATIONS_MAX)
    count = GBD_INCARNATIONS_MAX;
  if (count == 0
      || (count == limits->member_count
          && memcmp (members, limits->members, count * sizeof *members) == 0))
    return;
  for (uint32_t i = 0; i < limits->customer_count; i++)
    reorder_reports (limits, &limits->customers[i], members, count);
  memcpy (limits->members, members, count * sizeof *members);
  limits->member_count = count;
  for (uint32_t i = 0; i < limits->customer_count; i++)
    compute_share (limits, &limits->customers[i]);
}

uint64_t
gbd_limits_customer_id (const char *name)
{
  char text[GBD_NAME_MAX + sizeof "customer/"];
  snprintf (text, sizeof text, "customer/%s", name);
  return gbd_id_from_name (text);
}

void
gbd_limits_receive (gbd_limits_t *limits, gbd_instance_id_t from,
                    const gbd_limits_report_t *report)
{
  customer_t *customer = find_customer (limits, report->customer);
  int member = find_member (limits, from);
  if (!customer || member < 0)
    return;
  member_report_t *previous = &customer->reports[member];
  /* The first report of a member may include flows that were opened long ago,
     so its growth is at most the demand. */
  int32_t growth = report->open - previous->open;
  if (!previous->is_known && growth > 0 && (uint32_t)growth > report->demand)
    growth = (int32_t)report->demand;
  *previous = (member_report_t){
    .demand = report->demand,
    .open = report->open,
    .growth = growth,
    .is_known = true,
  };
}

bool
gbd_limits_end_round (gbd_limits_t *limits, gbd_time_t now,
                      gbd_limits_visit_t visit, void *data)
{
  if (now - limits->round_at < GBD_LIMITS_REPORT_INTERVAL)
    return false;
  limits->round_at = now;
  for (uint32_t i = 0; i < limits->customer_count; i++)
    {
      customer_t *customer = &limits->customers[i];
      advance_delay (customer, now);
      customer->tokens = tokens_at (customer, now);
      customer->refilled_at = now;
      customer->last_demand = customer->demand;
      customer->demand = 0;
      customer->admitted_this_round = 0;
      if (now >= customer->departed_until)
        customer->departed_open = 0;
      compute_share (limits, customer);
      gbd_limits_report_t report = {
        .customer = customer->id,
        .demand = customer->last_demand,
        .open = added_open (customer),
      };
      int32_t growth = report.open - customer->reported.open;
      /* Once growth has ended, one more report is sent, so that the other
         members no longer expect growth. */
      bool is_unchanged = customer->has_reported && growth == 0
                          && customer->growth == 0
                          && report.demand == customer->reported.demand;
      if (is_unchanged && ++customer->rounds_since_report < REPEAT_ROUNDS)
        continue;
      customer->rounds_since_report = 0;
      customer->growth = growth;
      customer->reported = report;
      customer->has_reported = true;
      visit (data, &report);
    }
  return true;
}

gbd_status_t
gbd_limits_get (const gbd_limits_t *limits, uint32_t index,
                gbd_limits_info_t *info)
{
  if (index >= limits->customer_count)
    return GBD_ERROR_NOT_FOUND;
  const customer_t *customer = &limits->customers[index];
  uint32_t left
      = customer->open_flows_left > customer->admitted_this_round
            ? customer->open_flows_left - customer->admitted_this_round
            : 0;
  *info = (gbd_limits_info_t){
    .share_per_second = customer->share,
    .open_flows = customer->group_open_flows,
    .open_flows_left = left,
    .admitted = customer->admitted,
    .refused = customer->refused,
  };
  return GBD_OK;
}

static bool
admits (const void *data, uint32_t index, gbd_time_t now)
{
  const gbd_limits_t *limits = data;
  if (index >= limits->customer_count)
    return false;
  const customer_t *customer = &limits->customers[index];
  return customer->admitted_this_round < customer->open_flows_left
         && tokens_at (customer, now) >= TOKENS_PER_FLOW;
}

/* Called for every new flow that was requested, whether admitted or not. */
static void
opened (void *data, uint32_t index, gbd_time_t now)
{
  gbd_limits_t *limits = data;
  if (index >= limits->customer_count)
    return;
  customer_t *customer = &limits->customers[index];
  bool is_admitted = admits (data, index, now);
  count_request (customer, is_admitted);
  if (!is_admitted)
    return;
  customer->tokens = tokens_at (customer, now) - TOKENS_PER_FLOW;
  customer->refilled_at = now;
}

static void
ended (void *data, uint32_t index, gbd_flow_end_t end, gbd_time_t now)
{
  (void)now;
  gbd_limits_t *limits = data;
  if (index >= limits->customer_count)
    return;
  customer_t *customer = &limits->customers[index];
  switch (end)
    {
    case GBD_FLOW_END_CLOSED:
      customer->closed++;
      break;
    case GBD_FLOW_END_IDLE:
      customer->idle++;
      break;
    case GBD_FLOW_END_ELSEWHERE:
      customer->remote_closed++;
      break;
    }
}

static void
count_request (customer_t *customer, bool is_admitted)
{
  customer->demand++;
  if (!is_admitted)
    {
      customer->refused++;
      return;
    }
  customer->admitted++;
  customer->opened++;
  customer->admitted_this_round++;
}

static customer_t *
find_customer (gbd_limits_t *limits, uint64_t id)
{
  for (uint32_t i = 0; i < limits->customer_count; i++)
    {
      if (limits->customers[i].id == id)
        return &limits->customers[i];
    }
  return NULL;
}

static int
find_member (const gbd_limits_t *limits, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < limits->member_count; i++)
    {
      if (limits->members[i] == id)
        return (int)i;
    }
  return -1;
}

/* Reorder the reports for a new list of members.  The open flows that a
   departed member reported are counted for one more idle limit: they are still
   open, and each member that sees one of them close subtracts it.  All numbers
   are reported in the next round, because a new member also needs the
   unchanged ones. */
static void
reorder_reports (const gbd_limits_t *limits, customer_t *customer,
                 const gbd_instance_id_t *members, uint32_t count)
{
  member_report_t rearranged[GBD_INCARNATIONS_MAX] = { 0 };
  for (uint32_t i = 0; i < count; i++)
    {
      int slot = find_member (limits, members[i]);
      if (slot >= 0)
        rearranged[i] = customer->reports[slot];
    }
  for (uint32_t i = 0; i < limits->member_count; i++)
    {
      const member_report_t *report = &customer->reports[i];
      if (gbd_instances_contain (members, count, limits->members[i])
          || report->open <= 0)
        continue;
      customer->departed_open += report->open;
      customer->departed_until
          = limits->round_at
            + (gbd_time_t)customer->plan.idle_limit_s * GBD_SECOND;
    }
  memcpy (customer->reports, rearranged, sizeof rearranged);
  customer->rounds_since_report = REPEAT_ROUNDS;
}

static int32_t
added_open (const customer_t *customer)
{
  int64_t open = customer->opened - customer->closed - customer->remote_closed
                 - customer->idle + customer->remote_closed_due;
  return (int32_t)open;
}

static void
advance_delay (customer_t *customer, gbd_time_t now)
{
  gbd_time_t part
      = (gbd_time_t)customer->plan.idle_limit_s * GBD_SECOND / DELAY_ENTRIES;
  if (customer->delay_due == 0)
    customer->delay_due = now + part;
  while (now >= customer->delay_due)
    {
      uint32_t slot = customer->delay_index;
      customer->remote_closed_due = customer->remote_closed_history[slot];
      customer->remote_closed_history[slot] = customer->remote_closed;
      customer->delay_index = (slot + 1) % DELAY_ENTRIES;
      customer->delay_due += part;
    }
}

/* Compute the share of this instance.  If demand exceeds the limit, shares are
   proportional to demand; otherwise each member gets its demand and an even
   part of what is left of the limit.  Members that have not reported are
   assumed to demand an even share. */
static void
compute_share (const gbd_limits_t *limits, customer_t *customer)
{
  uint64_t limit = customer->plan.new_flows_per_second;
  uint64_t even_share = limit / limits->member_count;
  uint64_t own_demand
      = customer->has_reported ? customer->last_demand : even_share;
  uint64_t demand = 0;
  int64_t open = customer->departed_open;
  for (uint32_t i = 0; i < limits->member_count; i++)
    {
      const member_report_t *report = &customer->reports[i];
      if (limits->members[i] == limits->self)
        {
          demand += own_demand;
          open += added_open (customer);
        }
      else
        {
          demand += report->is_known ? report->demand : even_share;
          /* Expect the same growth in the round that the member has not
             reported yet. */
          open += report->open + (report->growth > 0 ? report->growth : 0);
        }
    }

  uint64_t share;
  if (demand > limit)
    share = limit * own_demand / demand;
  else
    {
      /* This instance gets only the part of its demand that it has reported:
         the other members do not know the rest yet, and divide it evenly among
         all members. */
      uint64_t reported
          = customer->has_reported ? customer->reported.demand : own_demand;
      if (reported > own_demand)
        reported = own_demand;
      uint64_t unused = limit - (demand - own_demand + reported);
      share = reported + unused / limits->member_count;
    }
  customer->share = (uint32_t)share;
  if (open < 0)
    open = 0;
  customer->group_open_flows = (uint32_t)open;
  uint64_t left = customer->plan.open_flows > (uint64_t)open
                      ? customer->plan.open_flows - (uint64_t)open
                      : 0;
  customer->open_flows_left = (uint32_t)(left * share / (limit ? limit : 1));
}

static int64_t
tokens_at (const customer_t *customer, gbd_time_t now)
{
  gbd_time_t elapsed = now - customer->refilled_at;
  if (elapsed > GBD_SECOND)
    elapsed = GBD_SECOND;
  int64_t tokens = customer->tokens + (int64_t)customer->share * elapsed;
  int64_t capacity = get_token_capacity (customer);
  return tokens < capacity ? tokens : capacity;
}

/* Capacity of the token bucket.  It holds tokens for at least one flow, as a
   small share would otherwise never admit any. */
static int64_t
get_token_capacity (const customer_t *customer)
{
  int64_t burst = (int64_t)customer->share * GBD_LIMITS_BURST_PERCENT / 100;
  return (burst > 0 ? burst : 1) * TOKENS_PER_FLOW;
}
