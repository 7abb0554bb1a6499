/*
 * Compression of byte strings in zlib format, with GIO. Inventory text shrinks
 * to about a tenth of its size.
 */
#ifndef AUBURNSTILE_INTERNAL_COMPRESSION_H
#define AUBURNSTILE_INTERNAL_COMPRESSION_H

#include <gio/gio.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Returns the compressed data, owned by the caller; never NULL. */
GBytes *aubi_compress(const void *data, gsize length);

/*
 * Returns the decompressed data, owned by the caller. Returns NULL and sets
 * AUB_ERROR_INVALID if the data is truncated or corrupt, AUB_ERROR_TOO_LARGE
 * if the result has more than `limit` bytes. `peer` is used in errors.
 */
GBytes *aubi_decompress(const void *data, gsize length, gsize limit,
			const char *peer, GError **error);

G_END_DECLS

#endif
