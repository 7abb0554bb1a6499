/*
 * Message bodies of the platform's API: written as JSON in the code and sent as
 * msgpack.
 */
#ifndef TOOLS_PLATFORM_BODY_H
#define TOOLS_PLATFORM_BODY_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Returns JSON text as msgpack; text that is not valid JSON is returned
 * unchanged. The caller unreferences the result.
 */
GBytes *platform_body_pack(const char *text, gsize length);
/*
 * Returns a msgpack body as JSON text, freed with g_free(), or NULL if it is
 * not valid msgpack.
 */
char *platform_body_text(const void *data, gsize length);

G_END_DECLS

#endif
