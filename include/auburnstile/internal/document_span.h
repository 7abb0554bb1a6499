/*
 * Splits encoded msgpack into its values without decoding them, so that one
 * value that can't be decoded does not hide those beside it.
 */
#ifndef AUBURNSTILE_INTERNAL_DOCUMENT_SPAN_H
#define AUBURNSTILE_INTERNAL_DOCUMENT_SPAN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Encoded values in a buffer, which must outlive the span. */
struct aub_span {
	const guint8 *data;
	gsize length;
};

/*
 * Moves the first value of `rest` to `value`; of any type and depth. Returns
 * false if it is truncated, is not msgpack, or contains more values than bytes.
 */
bool aub_span_take(struct aub_span *rest, struct aub_span *value);

/*
 * Take the head of a list or of a map from `rest`, which is left at its first
 * element or key. Return false if there is none.
 */
bool aub_span_take_list(struct aub_span *rest, guint32 *count);
bool aub_span_take_map(struct aub_span *rest, guint32 *count);

/* Finds a member of an encoded map by its name. */
bool aub_span_find(const struct aub_span *map, const char *name,
		   struct aub_span *value);

/*
 * Finds the bytes of an encoded string or byte string, which need not be text.
 * Returns false if the value is of another type.
 */
bool aub_span_bytes(const struct aub_span *value, struct aub_span *bytes);

/* Reads an encoded integer that is not negative. */
bool aub_span_integer(const struct aub_span *value, gint64 *number);

G_END_DECLS

#endif
