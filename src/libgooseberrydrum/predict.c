#include "gooseberrydrum/predict.h"

#include <stdlib.h>
#include <string.h>

/* Context for reporting the effects of a list change. */
typedef struct
{
  const gbd_catalog_t *before;
  const gbd_catalog_t *after;
  gbd_predict_visit_t visit;
  void *data;
  uint32_t count;
} effects_t;

static void report_effect (effects_t *effects, const gbd_effect_t *effect);
static void predict_addresses (effects_t *effects);
static void predict_services (effects_t *effects);
static void predict_limits (effects_t *effects);
static const char *find_service_name (const gbd_catalog_t *catalog,
                                      const gbd_address_t *address);
static const char *find_owner (const gbd_catalog_t *catalog,
                               gbd_service_id_t id);
static const gbd_plan_t *find_plan (const gbd_catalog_t *catalog,
                                    const char *customer);
static bool is_plan_equal (const gbd_plan_t *a, const gbd_plan_t *b);
static uint8_t make_confirmations (const gbd_table_t *table,
                                   const gbd_coordinator_input_t *input,
                                   gbd_confirmation_t *confirmations);
static void add_confirmation (gbd_confirmation_t *confirmations,
                              uint8_t *count, gbd_instance_id_t id,
                              uint64_t version);
static bool record_step (const gbd_table_t *previous, const gbd_table_t *next,
                         gbd_prediction_t *prediction);
static gbd_backend_id_t get_new_flow_backend (const gbd_table_t *table,
                                              uint32_t bucket);
static uint32_t count_moved_buckets (const gbd_table_t *before,
                                     const gbd_table_t *after);

const char *const gbd_effect_strings[GBD_EFFECT_COUNT] = {
  "address added", "address removed", "address moved", "service added",
  "service ended", "service owner",   "limits",
};

uint32_t
gbd_predict_lists (const gbd_catalog_t *before, const gbd_catalog_t *after,
                   gbd_predict_visit_t visit, void *data)
{
  effects_t effects = { before, after, visit, data, 0 };
  predict_services (&effects);
  predict_addresses (&effects);
  predict_limits (&effects);
  return effects.count;
}

gbd_status_t
gbd_predict_table (const gbd_table_t *table,
                   const gbd_coordinator_input_t *desired,
                   gbd_prediction_t *prediction)
{
  gbd_coordinator_input_t input = *desired;
  gbd_confirmation_t confirmations[3 * GBD_ROSTER_MAX];
  memset (prediction, 0, sizeof *prediction);
  gbd_table_t *current = table ? gbd_table_copy (table) : NULL;
  if (table && !current)
    return GBD_ERROR_MEMORY;

  gbd_status_t status = GBD_OK;
  input.is_loss_free = true;
  input.confirmations = confirmations;
  while (prediction->steps < GBD_PREDICT_STEPS_MAX)
    {
      gbd_table_t *next;
      input.confirmation_count
          = make_confirmations (current, desired, confirmations);
      gbd_step_t step = gbd_coordinator_step (current, &input, &next);
      if (step != GBD_STEP_READY)
        {
          prediction->is_converged = step == GBD_STEP_IDLE;
          if (step == GBD_STEP_NO_MEMBER)
            status = GBD_ERROR_UNAVAILABLE;
          break;
        }
      bool is_recorded = record_step (current, next, prediction);
      gbd_table_delete (current);
      current = next;
      if (!is_recorded)
        {
          status = GBD_ERROR_MEMORY;
          break;
        }
    }
  if (status == GBD_OK && table)
    prediction->moved = count_moved_buckets (table, current);
  prediction->after = current;
  if (status != GBD_OK)
    gbd_prediction_clear (prediction);
  return status;
}

void
gbd_prediction_clear (gbd_prediction_t *prediction)
{
  gbd_table_delete (prediction->after);
  prediction->after = NULL;
}

void
gbd_predict_shares (const gbd_table_t *table, uint32_t *shares)
{
  memset (shares, 0, table->backend_count * sizeof *shares);
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      gbd_slot_t slot = gbd_bucket_new_flow_slot (&table->buckets[i]);
      if (slot < table->backend_count)
        shares[slot]++;
    }
}

void
gbd_predict_weights (const gbd_table_t *table, const gbd_backend_t *backends,
                     uint32_t count, uint16_t *weights)
{
  uint32_t weight_per_bucket = UINT16_MAX / table->bucket_count;
  uint32_t sum = 0;
  uint32_t servers_with_share = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_slot_t slot = gbd_table_find_backend (table, backends[i].id);
      uint32_t share = 0;
      for (uint32_t b = 0; b < table->bucket_count; b++)
        share += slot != GBD_SLOT_NONE
                 && gbd_bucket_new_flow_slot (&table->buckets[b]) == slot;
      weights[i] = (uint16_t)(share * weight_per_bucket);
      sum += weights[i];
      servers_with_share += share > 0;
    }
  uint16_t mean
      = servers_with_share ? (uint16_t)(sum / servers_with_share) : 1;
  for (uint32_t i = 0; i < count; i++)
    {
      if (backends[i].state != GBD_BACKEND_READY)
        weights[i] = 0;
      else if (weights[i] == 0)
        weights[i] = mean;
    }
}

static void
report_effect (effects_t *effects, const gbd_effect_t *effect)
{
  effects->count++;
  effects->visit (effects->data, effect);
}

static void
predict_addresses (effects_t *effects)
{
  gbd_address_t address;
  for (uint32_t i = 0;
       effects->before
       && gbd_catalog_get_address (effects->before, &i, &address);
       i++)
    {
      const char *before = find_service_name (effects->before, &address);
      const char *after = find_service_name (effects->after, &address);
      if (after && strcmp (before, after) == 0)
        continue;
      gbd_effect_t effect = { .kind = after ? GBD_EFFECT_ADDRESS_MOVED
                                            : GBD_EFFECT_ADDRESS_REMOVED,
                              .ends_flows = true,
                              .address = address,
                              .before = before,
                              .after = after };
      report_effect (effects, &effect);
    }
  for (uint32_t i = 0; gbd_catalog_get_address (effects->after, &i, &address);
       i++)
    {
      if (find_service_name (effects->before, &address))
        continue;
      gbd_effect_t effect
          = { .kind = GBD_EFFECT_ADDRESS_ADDED,
              .address = address,
              .after = find_service_name (effects->after, &address) };
      report_effect (effects, &effect);
    }
}

static void
predict_services (effects_t *effects)
{
  uint32_t count
      = effects->before ? gbd_catalog_get_service_count (effects->before) : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_service_info_t *info
          = gbd_catalog_get_service (effects->before, i);
      const char *before = find_owner (effects->before, info->id);
      const char *after = find_owner (effects->after, info->id);
      if (after && strcmp (before, after) == 0)
        continue;
      gbd_effect_t effect = { .kind = after ? GBD_EFFECT_SERVICE_OWNER
                                            : GBD_EFFECT_SERVICE_REMOVED,
                              .ends_flows = !after,
                              .before = after ? before : info->name,
                              .after = after,
                              .service = info->name };
      report_effect (effects, &effect);
    }
  count = gbd_catalog_get_service_count (effects->after);
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_service_info_t *info
          = gbd_catalog_get_service (effects->after, i);
      if (find_owner (effects->before, info->id))
        continue;
      gbd_effect_t effect = { .kind = GBD_EFFECT_SERVICE_ADDED,
                              .after = info->name,
                              .service = info->name };
      report_effect (effects, &effect);
    }
}

static void
predict_limits (effects_t *effects)
{
  uint32_t count = gbd_catalog_get_customer_count (effects->after);
  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = gbd_catalog_get_customer (effects->after, i)->name;
      const gbd_plan_t *before = find_plan (effects->before, name);
      const gbd_plan_t *after = find_plan (effects->after, name);
      if (before && is_plan_equal (before, after))
        continue;
      gbd_effect_t effect = { .kind = GBD_EFFECT_LIMITS,
                              .before = before ? name : NULL,
                              .after = name,
                              .plan_before = before,
                              .plan_after = after };
      report_effect (effects, &effect);
    }
}

static const char *
find_service_name (const gbd_catalog_t *catalog, const gbd_address_t *address)
{
  gbd_service_handle_t service
      = catalog ? gbd_catalog_find (catalog, address) : GBD_SERVICE_NONE;
  if (service == GBD_SERVICE_NONE)
    return NULL;
  return gbd_catalog_get_service (catalog, service)->name;
}

static const char *
find_owner (const gbd_catalog_t *catalog, gbd_service_id_t id)
{
  gbd_service_handle_t service
      = catalog ? gbd_catalog_find_service (catalog, id) : GBD_SERVICE_NONE;
  if (service == GBD_SERVICE_NONE)
    return NULL;
  uint32_t customer = gbd_catalog_get_service (catalog, service)->customer;
  return gbd_catalog_get_customer (catalog, customer)->name;
}

static const gbd_plan_t *
find_plan (const gbd_catalog_t *catalog, const char *name)
{
  uint32_t count = catalog ? gbd_catalog_get_customer_count (catalog) : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_customer_info_t *info = gbd_catalog_get_customer (catalog, i);
      if (strcmp (info->name, name) == 0)
        return gbd_catalog_get_plan (catalog, info->plan);
    }
  return NULL;
}

static bool
is_plan_equal (const gbd_plan_t *a, const gbd_plan_t *b)
{
  return a->open_flows == b->open_flows
         && a->new_flows_per_second == b->new_flows_per_second
         && a->idle_limit_s == b->idle_limit_s
         && a->balance_percent == b->balance_percent;
}

/* Confirms the current version on behalf of every member that a step may
   wait for. */
static uint8_t
make_confirmations (const gbd_table_t *table,
                    const gbd_coordinator_input_t *input,
                    gbd_confirmation_t *confirmations)
{
  uint8_t count = 0;
  uint64_t version = table ? table->version : 0;
  for (uint8_t i = 0; table && i < table->roster_count; i++)
    add_confirmation (confirmations, &count, table->roster[i].id, version);
  for (uint8_t i = 0; table && i < table->next_count; i++)
    add_confirmation (confirmations, &count, table->next[i].id, version);
  for (uint8_t i = 0; i < input->member_count; i++)
    add_confirmation (confirmations, &count, input->members[i].id, version);
  return count;
}

static void
add_confirmation (gbd_confirmation_t *confirmations, uint8_t *count,
                  gbd_instance_id_t id, uint64_t version)
{
  for (uint8_t i = 0; i < *count; i++)
    {
      if (confirmations[i].id == id)
        return;
    }
  confirmations[(*count)++] = (gbd_confirmation_t){
    .id = id,
    .version = version,
    .complete = version,
  };
}

static bool
record_step (const gbd_table_t *previous, const gbd_table_t *next,
             gbd_prediction_t *prediction)
{
  size_t length;
  uint8_t *bytes = gbd_table_pack (next, previous, &length);
  if (!bytes)
    return false;
  free (bytes);
  prediction->bytes += length;
  prediction->steps++;
  if (!previous || count_moved_buckets (previous, next))
    prediction->steps_until_effective = prediction->steps;
  return true;
}

static gbd_backend_id_t
get_new_flow_backend (const gbd_table_t *table, uint32_t bucket)
{
  gbd_slot_t slot = gbd_bucket_new_flow_slot (&table->buckets[bucket]);
  return slot < table->backend_count ? table->backends[slot].id : 0;
}

static uint32_t
count_moved_buckets (const gbd_table_t *before, const gbd_table_t *after)
{
  uint32_t moved = 0;
  for (uint32_t i = 0; i < before->bucket_count; i++)
    moved
        += get_new_flow_backend (before, i) != get_new_flow_backend (after, i);
  return moved;
}
