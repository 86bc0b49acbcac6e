/** @file udp.h
 *  UDP sockets and conversion of socket addresses.
 */
#ifndef SHARE_UDP_H
#define SHARE_UDP_H

#include <sys/socket.h>

#include "gooseberrydrum/types.h"

/** Convert an address to a socket address.
 *  @return its length in bytes. */
socklen_t gbd_udp_to_sockaddr (const gbd_address_t *address,
                               struct sockaddr_storage *out);

/** Convert a socket address.  Families other than IPv4 and IPv6 are
 *  converted to family 0. */
void gbd_udp_from_sockaddr (const struct sockaddr_storage *from,
                            gbd_address_t *address);

/** Open a non-blocking socket and bind it.
 *  @param buffer_size requested size in bytes for each direction; 0 for the
 *                     default of the system
 *  @return the descriptor, or -1 with errno set. */
int gbd_udp_listen (const gbd_address_t *address, uint32_t buffer_size);

/** Open a non-blocking socket without binding it, for sending only.
 *  @param family 4 or 6
 *  @param buffer_size as for gbd_udp_listen()
 *  @return the descriptor, or -1 with errno set. */
int gbd_udp_open (uint8_t family, uint32_t buffer_size);

/** Get the address that a socket is bound to, including a port chosen by the
 *  kernel. */
void gbd_udp_get_address (int fd, gbd_address_t *address);

#endif
