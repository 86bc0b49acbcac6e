#include "serve.h"

#include <stdlib.h>
#include <string.h>

#include "share/log.h"

static void link_up (void *data, gbd_instance_id_t id, gbd_zone_id_t zone,
                     const char *name);
static void link_down (void *data, gbd_instance_id_t id);
static void message_received (void *data, const gbd_message_t *message);
static void receive_config (gbd_serve_t *serve, const gbd_message_t *message);
static void send_json (gbd_serve_t *serve, gbd_instance_id_t to,
                       uint64_t generation, json_t *value);
static void broadcast_json (gbd_serve_t *serve, uint64_t generation,
                            json_t *value);
static void send_text (gbd_serve_t *serve, gbd_instance_id_t to,
                       uint64_t generation, char *text);

const gbd_links_callbacks_t gbd_serve_links_callbacks
    = { link_up, link_down, message_received };

void
gbd_serve_send_config (gbd_serve_t *serve, gbd_instance_id_t to)
{
  if (serve->accepted)
    send_json (serve, to, serve->generation, serve->accepted);
}

void
gbd_serve_broadcast_accepted (gbd_serve_t *serve)
{
  broadcast_json (serve, serve->generation, serve->accepted);
}

void
gbd_serve_broadcast_instances (gbd_serve_t *serve)
{
  broadcast_json (serve, 0, serve->instance_objects);
}

void
gbd_serve_update_peer_addresses (gbd_serve_t *serve)
{
  for (uint32_t i = 0; i < serve->connected_peer_count; i++)
    for (uint32_t j = 0; j < serve->listed_instance_count; j++)
      {
        if (strcmp (serve->connected_peers[i].name,
                    serve->listed_instances[j].name)
            == 0)
          gbd_datapath_set_peer (serve->datapath, serve->connected_peers[i].id,
                                 &serve->listed_instances[j].peer);
      }
}

static void
link_up (void *data, gbd_instance_id_t id, gbd_zone_id_t zone,
         const char *name)
{
  gbd_serve_t *serve = data;
  link_down (data, id);
  if (serve->connected_peer_count < GBD_INCARNATIONS_MAX)
    {
      gbd_connected_peer_t *peer
          = &serve->connected_peers[serve->connected_peer_count++];
      peer->id = id;
      strncpy (peer->name, name, GBD_NAME_MAX);
      peer->name[GBD_NAME_MAX] = '\0';
    }
  gbd_log (GBD_EVENT_LINK_UP, name);
  gbd_node_link_up (serve->node, id, zone, name, gbd_serve_now ());
  gbd_serve_update_peer_addresses (serve);
  /* The accepted configuration is sent when the peer requests a newer
     generation. */
  if (gbd_node_is_watching (serve->node))
    send_json (serve, id, 0, serve->instance_objects);
}

static void
link_down (void *data, gbd_instance_id_t id)
{
  gbd_serve_t *serve = data;
  for (uint32_t i = 0; i < serve->connected_peer_count; i++)
    {
      if (serve->connected_peers[i].id != id)
        continue;
      gbd_log (GBD_EVENT_LINK_DOWN, serve->connected_peers[i].name);
      gbd_node_link_down (serve->node, id);
      serve->connected_peers[i]
          = serve->connected_peers[--serve->connected_peer_count];
      return;
    }
}

static void
message_received (void *data, const gbd_message_t *message)
{
  gbd_serve_t *serve = data;
  if (message->type == GBD_MESSAGE_CONFIG)
    receive_config (serve, message);
  else if (message->type == GBD_MESSAGE_LOAD)
    gbd_load_receive (serve->load, message, gbd_serve_now ());
  else
    gbd_node_receive (serve->node, message, gbd_serve_now ());
}

static void
receive_config (gbd_serve_t *serve, const gbd_message_t *message)
{
  json_t *value
      = json_loadb ((const char *)message->body.config.bytes,
                    message->body.config.length, JSON_REJECT_DUPLICATES, NULL);
  if (!json_is_object (value))
    {
      json_decref (value);
      return;
    }
  if (message->body.config.generation)
    gbd_serve_apply_accepted (serve, value, gbd_serve_now ());
  else if (!gbd_node_is_watching (serve->node))
    {
      /* An instance that watches the platform has a newer list than its
         peers. */
      json_object_clear (serve->instance_objects);
      json_object_update (serve->instance_objects, value);
      gbd_serve_apply_instances (serve, serve->instance_objects);
    }
  json_decref (value);
}

static void
send_json (gbd_serve_t *serve, gbd_instance_id_t to, uint64_t generation,
           json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  if (text)
    send_text (serve, to, generation, text);
  free (text);
}

/* Sends a value to all connected peers and encodes it only once. */
static void
broadcast_json (gbd_serve_t *serve, uint64_t generation, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  for (uint32_t i = 0; text && i < serve->connected_peer_count; i++)
    send_text (serve, serve->connected_peers[i].id, generation, text);
  free (text);
}

static void
send_text (gbd_serve_t *serve, gbd_instance_id_t to, uint64_t generation,
           char *text)
{
  gbd_message_t message = { .type = GBD_MESSAGE_CONFIG, .from = serve->self };
  message.body.config.generation = generation;
  message.body.config.length = (uint32_t)strlen (text);
  message.body.config.bytes = (uint8_t *)text;
  gbd_links_send (serve->links, to, &message);
}
