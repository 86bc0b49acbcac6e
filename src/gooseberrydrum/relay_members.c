#include "relay_members.h"

#include <string.h>

#include <glib.h>

/* Positions in the message MEMBERS and in its entries. */
enum
{
  POSITION_SCHEMA,
  POSITION_TYPE,
  POSITION_MEMBERS
};
enum
{
  MEMBER_ADDRESS,
  MEMBER_ZONE,
  MEMBER_AGE
};
/* Positions in a view. */
enum
{
  VIEW_TOTAL,
  VIEW_ZONE_COUNT,
  VIEW_ZONE_RANK,
  VIEW_IS_COMPLETE
};

static bool read_member (const json_t *value, gbd_group_member_t *member);
static bool read_count (const json_t *array, size_t position,
                        uint32_t *number);
static void pack_text (msgpack_packer *packer, const char *text);

void
gbd_relay_pack_view (const gbd_members_t *members, const gbd_address_t *reader,
                     gbd_time_t now, msgpack_sbuffer *buffer)
{
  gbd_group_view_t view;
  msgpack_packer packer;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  if (!reader->family || !gbd_members_get_view (members, reader, &view, now))
    {
      msgpack_pack_nil (&packer);
      return;
    }
  msgpack_pack_array (&packer, GBD_RELAY_VIEW_LENGTH);
  msgpack_pack_uint32 (&packer, view.total);
  msgpack_pack_uint32 (&packer, view.zone_count);
  msgpack_pack_uint32 (&packer, view.zone_rank);
  if (gbd_members_is_complete (members, now))
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
}

bool
gbd_relay_read_view (const json_t *value, gbd_group_view_t *view,
                     bool *is_complete)
{
  *view = (gbd_group_view_t){ 0 };
  *is_complete = json_is_true (json_array_get (value, VIEW_IS_COMPLETE));
  return read_count (value, VIEW_TOTAL, &view->total)
         && read_count (value, VIEW_ZONE_COUNT, &view->zone_count)
         && read_count (value, VIEW_ZONE_RANK, &view->zone_rank);
}

void
gbd_relay_pack_members (const gbd_members_t *members, gbd_time_t now,
                        msgpack_sbuffer *buffer)
{
  msgpack_packer packer;
  gbd_group_member_t member;
  uint32_t position = 0;
  uint32_t count = 0;
  while (gbd_members_next_own (members, &position, &member, now))
    count++;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, GBD_RELAY_MEMBERS_LENGTH);
  msgpack_pack_int (&packer, GBD_RELAY_SCHEMA);
  msgpack_pack_int (&packer, GBD_RELAY_MEMBERS);
  msgpack_pack_array (&packer, count);
  position = 0;
  while (gbd_members_next_own (members, &position, &member, now))
    {
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&member.address, address);
      msgpack_pack_array (&packer, GBD_RELAY_MEMBER_LENGTH);
      pack_text (&packer, address);
      pack_text (&packer, member.zone);
      msgpack_pack_int64 (&packer, member.age / GBD_MILLISECOND);
    }
}

bool
gbd_relay_merge_members (gbd_members_t *members, uint32_t peer,
                         const void *bytes, size_t length, gbd_time_t now)
{
  json_t *message = gbd_relay_unpack (bytes, length);
  const json_t *schema = json_array_get (message, POSITION_SCHEMA);
  const json_t *type = json_array_get (message, POSITION_TYPE);
  const json_t *list = json_array_get (message, POSITION_MEMBERS);
  bool is_valid = json_integer_value (schema) >= GBD_RELAY_SCHEMA
                  && json_integer_value (type) == GBD_RELAY_MEMBERS
                  && json_is_array (list);
  if (is_valid)
    gbd_members_record_response (members, peer, now);
  size_t count = is_valid ? MIN (json_array_size (list), GBD_MEMBERS_MAX) : 0;
  for (size_t i = 0; i < count; i++)
    {
      gbd_group_member_t member;
      if (read_member (json_array_get (list, i), &member))
        gbd_members_merge (members, peer, &member, now);
    }
  json_decref (message);
  return is_valid;
}

static bool
read_member (const json_t *value, gbd_group_member_t *member)
{
  const char *address
      = json_string_value (json_array_get (value, MEMBER_ADDRESS));
  const char *zone = json_string_value (json_array_get (value, MEMBER_ZONE));
  uint32_t age_ms;
  if (!address || !zone
      || gbd_address_parse (address, &member->address) != GBD_OK
      || strlen (zone) > GBD_NAME_MAX
      || !read_count (value, MEMBER_AGE, &age_ms))
    return false;
  g_strlcpy (member->zone, zone, sizeof member->zone);
  member->age = age_ms * GBD_MILLISECOND;
  return true;
}

static bool
read_count (const json_t *array, size_t position, uint32_t *number)
{
  const json_t *value = json_array_get (array, position);
  json_int_t integer = json_integer_value (value);
  if (!json_is_integer (value) || integer < 0 || integer > UINT32_MAX)
    return false;
  *number = (uint32_t)integer;
  return true;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str_with_body (packer, text, strlen (text));
}
