/*
 * Checks the number of elements that a msgpack frame announces, before the
 * frame is decoded.
 */
#ifndef AUBURNSTILE_INTERNAL_FRAME_CHECK_H
#define AUBURNSTILE_INTERNAL_FRAME_CHECK_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Elements per frame; the decoder allocates 24 bytes for each. */
#define AUBI_FRAME_ELEMENTS_MAX ((gsize)1 << 18)

/*
 * Returns false if a frame is truncated, is not msgpack, contains a map, or
 * announces too many elements.
 */
bool aubi_frame_check(const void *data, gsize length);

/* The same for a document, which may contain maps. */
bool aubi_document_check(const void *data, gsize length);

G_END_DECLS

#endif
