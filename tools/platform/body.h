/*
 * Bodies of the platform: written as JSON where a person reads them, and sent
 * as msgpack.
 */
#ifndef TOOLS_PLATFORM_BODY_H
#define TOOLS_PLATFORM_BODY_H

#include <glib.h>

G_BEGIN_DECLS

/* Text that is no JSON is sent as it is. */
GBytes *platform_body_pack(const char *text, gsize length);
/* JSON of a body; g_free; NULL where it is not msgpack. */
char *platform_body_text(const void *data, gsize length);

G_END_DECLS

#endif
