#include "standins/object.h"

#include <stdlib.h>

#include <glib.h>

#include "standins/http.h"

#define TIMEOUT_MS 2000
#define ATTEMPTS_MAX 50
#define RETRY_INTERVAL (100 * GBD_MILLISECOND)

json_t *
object_get (const gbd_address_t *platform, const char *kind, const char *name,
            uint64_t *version)
{
  char *text = NULL;
  char *path = g_strdup_printf ("/v1/%s/%s", kind, name);
  int status = http_call (platform, "GET", path, NULL, TIMEOUT_MS, &text);
  json_t *response = status == 200 ? json_loads (text, 0, NULL) : NULL;
  json_t *value = json_incref (json_object_get (response, "value"));
  if (version)
    *version
        = (uint64_t)json_integer_value (json_object_get (response, "version"));
  json_decref (response);
  g_free (path);
  g_free (text);
  return value;
}

bool
object_put (const gbd_address_t *platform, const char *kind, const char *name,
            const json_t *value)
{
  char *body = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  bool is_written = false;
  for (int i = 0; i < ATTEMPTS_MAX && !is_written; i++)
    {
      uint64_t version = 0;
      if (i)
        {
          g_usleep (RETRY_INTERVAL);
          json_decref (object_get (platform, kind, name, &version));
        }
      char *path = g_strdup_printf ("/v1/%s/%s?version=%" G_GUINT64_FORMAT,
                                    kind, name, version);
      is_written
          = http_call (platform, "PUT", path, body, TIMEOUT_MS, NULL) == 200;
      g_free (path);
    }
  free (body);
  return is_written;
}
