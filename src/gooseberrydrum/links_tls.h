/** @file links_tls.h
 *  Mutual TLS of the links.
 */
#ifndef PROGRAM_LINKS_TLS_H
#define PROGRAM_LINKS_TLS_H

#include "links.h"

/** Flags of a client connection; 0 for plain links. */
int gbd_links_tls_client_flags (const gbd_links_settings_t *settings);

#endif
