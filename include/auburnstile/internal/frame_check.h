/*
 * Bounds a frame's announced elements before it is decoded.
 */
#ifndef AUBURNSTILE_INTERNAL_FRAME_CHECK_H
#define AUBURNSTILE_INTERNAL_FRAME_CHECK_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Elements a frame may announce; the decoder spends 24 bytes on each. */
#define AUBI_FRAME_ELEMENTS_MAX ((gsize)1 << 18)

/* False where a frame is cut short, not msgpack, or announces too much. */
bool aubi_frame_check(const void *data, gsize length);

/* The same for a document, which may hold maps. */
bool aubi_document_check(const void *data, gsize length);

G_END_DECLS

#endif
