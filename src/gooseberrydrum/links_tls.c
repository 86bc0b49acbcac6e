#include "links_tls.h"

int
gbd_links_tls_client_flags (const gbd_links_settings_t *settings)
{
  return settings->certificate
             ? LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK
             : 0;
}
