/*
 * Finds the end of encoded msgpack values.
 *
 * msgpack-c decodes a whole buffer or nothing: a value that is nested too
 * deeply, or that has too many elements, makes all others unreadable. The walk
 * here counts the values that are still due, without recursion and memory.
 */
#include <auburnstile/internal/document_span.h>

#include <string.h>

/* What follows a value's first byte. */
struct value_head {
	guint size_bytes; /* of the big-endian number that follows */
	guint per_item; /* values for each item of a list or map, or 0 */
	gsize bytes; /* besides those that the number counts */
	guint32 count; /* the number, if it is part of the first byte */
	bool counts_bytes; /* the number counts bytes */
};

/* Types by first byte, from 0xc0 to 0xdf; see the msgpack specification. */
static const struct value_head heads[] = {
	[0x00] = { .bytes = 0 }, /* nil */
	[0x02] = { .bytes = 0 }, /* false */
	[0x03] = { .bytes = 0 }, /* true */
	[0x04] = { .size_bytes = 1, .counts_bytes = true }, /* bin */
	[0x05] = { .size_bytes = 2, .counts_bytes = true },
	[0x06] = { .size_bytes = 4, .counts_bytes = true },
	[0x07] = { .size_bytes = 1,
		   .counts_bytes = true,
		   .bytes = 1 }, /* ext */
	[0x08] = { .size_bytes = 2, .counts_bytes = true, .bytes = 1 },
	[0x09] = { .size_bytes = 4, .counts_bytes = true, .bytes = 1 },
	[0x0a] = { .bytes = 4 }, /* float */
	[0x0b] = { .bytes = 8 },
	[0x0c] = { .bytes = 1 }, /* unsigned */
	[0x0d] = { .bytes = 2 },
	[0x0e] = { .bytes = 4 },
	[0x0f] = { .bytes = 8 },
	[0x10] = { .bytes = 1 }, /* signed */
	[0x11] = { .bytes = 2 },
	[0x12] = { .bytes = 4 },
	[0x13] = { .bytes = 8 },
	[0x14] = { .bytes = 2 }, /* ext of a fixed size */
	[0x15] = { .bytes = 3 },
	[0x16] = { .bytes = 5 },
	[0x17] = { .bytes = 9 },
	[0x18] = { .bytes = 17 },
	[0x19] = { .size_bytes = 1, .counts_bytes = true }, /* str */
	[0x1a] = { .size_bytes = 2, .counts_bytes = true },
	[0x1b] = { .size_bytes = 4, .counts_bytes = true },
	[0x1c] = { .size_bytes = 2, .per_item = 1 }, /* list */
	[0x1d] = { .size_bytes = 4, .per_item = 1 },
	[0x1e] = { .size_bytes = 2, .per_item = 2 }, /* map */
	[0x1f] = { .size_bytes = 4, .per_item = 2 },
};

#define TYPE_UNUSED 0xc1
#define TYPE_UINT8 0xcc
#define TYPE_UINT64 0xcf

static struct value_head head_of(guint8 type)
{
	if (type < 0x80 || type >= 0xe0) /* small integers */
		return (struct value_head){ .bytes = 0 };
	if (type < 0x90)
		return (struct value_head){ .count = type & 0x0f,
					    .per_item = 2 };
	if (type < 0xa0)
		return (struct value_head){ .count = type & 0x0f,
					    .per_item = 1 };
	if (type < 0xc0)
		return (struct value_head){ .count = type & 0x1f,
					    .counts_bytes = true };
	return heads[type - 0xc0];
}

/*
 * Takes the first byte of a value and the number after it, which becomes the
 * head's count.
 */
static bool take_head(struct aub_span *rest, struct value_head *head)
{
	guint8 type;

	if (!rest->length || rest->data[0] == TYPE_UNUSED)
		return false;
	type = rest->data[0];
	*head = head_of(type);
	if (rest->length < 1 + (gsize)head->size_bytes)
		return false;
	for (guint i = 0; i < head->size_bytes; i++)
		head->count = head->count << 8 | rest->data[1 + i];
	rest->data += 1 + head->size_bytes;
	rest->length -= 1 + head->size_bytes;
	return true;
}

bool aub_span_take(struct aub_span *rest, struct aub_span *value)
{
	struct aub_span left = *rest;
	guint64 due = 1; /* values */

	while (due) {
		struct value_head head;
		guint64 bytes;

		if (!take_head(&left, &head))
			return false;
		bytes = head.bytes + (head.counts_bytes ? head.count : 0);
		if (bytes > left.length)
			return false;
		left.data += bytes;
		left.length -= bytes;
		due += (guint64)head.count * head.per_item - 1;
		/* Each value takes at least one byte. */
		if (due > left.length)
			return false;
	}
	*value = (struct aub_span){ .data = rest->data,
				    .length = rest->length - left.length };
	*rest = left;
	return true;
}

static bool take_container(struct aub_span *rest, guint per_item,
			   guint32 *count)
{
	struct aub_span left = *rest;
	struct value_head head;

	if (!take_head(&left, &head) || head.per_item != per_item)
		return false;
	*count = head.count;
	*rest = left;
	return true;
}

bool aub_span_take_list(struct aub_span *rest, guint32 *count)
{
	return take_container(rest, 1, count);
}

bool aub_span_take_map(struct aub_span *rest, guint32 *count)
{
	return take_container(rest, 2, count);
}

bool aub_span_bytes(const struct aub_span *value, struct aub_span *bytes)
{
	struct aub_span rest = *value;
	struct value_head head;

	/* Extension types have a byte for the type besides those counted. */
	if (!take_head(&rest, &head) || !head.counts_bytes || head.bytes)
		return false;
	*bytes = rest;
	return true;
}

static bool is_text(const struct aub_span *value, const char *text)
{
	struct aub_span bytes;

	return aub_span_bytes(value, &bytes) && bytes.length == strlen(text) &&
	       !memcmp(bytes.data, text, bytes.length);
}

bool aub_span_find(const struct aub_span *map, const char *name,
		   struct aub_span *value)
{
	struct aub_span rest = *map;
	struct aub_span key;
	guint32 count;

	if (!aub_span_take_map(&rest, &count))
		return false;
	for (guint32 i = 0; i < count; i++) {
		if (!aub_span_take(&rest, &key) || !aub_span_take(&rest, value))
			return false;
		if (is_text(&key, name))
			return true;
	}
	return false;
}

bool aub_span_integer(const struct aub_span *value, gint64 *number)
{
	guint8 type = value->length ? value->data[0] : TYPE_UNUSED;
	guint64 result = type;

	if (type >= 0x80) {
		if (type < TYPE_UINT8 || type > TYPE_UINT64)
			return false;
		result = 0;
		for (gsize i = 1; i < value->length; i++)
			result = result << 8 | value->data[i];
	}
	*number = (gint64)result;
	return result <= G_MAXINT64;
}
