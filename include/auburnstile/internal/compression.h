/*
 * Compressed byte strings (zlib's format, by GIO): an inventory's text takes
 * about a tenth of its size on the wire.
 */
#ifndef AUBURNSTILE_INTERNAL_PACK_H
#define AUBURNSTILE_INTERNAL_PACK_H

#include <gio/gio.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Owned by the caller; never NULL. */
GBytes *aubi_compress(const void *data, gsize length);

/*
 * Owned by the caller. NULL with AUB_ERROR_INVALID for what isn't whole, with
 * AUB_ERROR_TOO_LARGE for more than `limit` bytes; `peer` goes into both.
 */
GBytes *aubi_decompress(const void *data, gsize length, gsize limit,
		    const char *peer, GError **error);

G_END_DECLS

#endif
