/* Check of msgpack bytes before the library allocates for them: its unpacker
   believes the counts of arrays and maps.  */
#ifndef GBD_MSGPACK_CHECK_H
#define GBD_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether the bytes are exactly one whole object, with arrays and maps nested
   at most depth_max deep.  */
bool gbd_msgpack_is_whole (const uint8_t *bytes, size_t length,
                           unsigned depth_max);

#endif
