/*
 * A pass over a frame before it is decoded.
 *
 * The failure: msgpack's decoder allocates a list's room when it reads the
 * list's length, so five bytes can ask for 100 GB. The symptom: one damaged
 * or hostile frame ends the process. Counting first is enough, since each
 * element takes at least a byte: a frame that announces more elements than
 * it has bytes is malformed, and is refused before anything is allocated.
 *
 * The pass is msgpack's own parser, made from its template with callbacks
 * that only count. Maps are not part of the protocol, though of documents;
 * extension types are part of neither.
 */
#include <auburnstile/internal/frame_check.h>

#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

/* What the parser calls an object: its values are of no interest here. */
struct frame_user {
	gsize allowance; /* elements that may still be announced */
	bool maps; /* may there be any? */
};

#define REFUSED (-1)

#define msgpack_unpack_struct(name) struct frame_parser##name
#define msgpack_unpack_func(ret, name) \
	G_GNUC_UNUSED static ret frame_parser##name
#define msgpack_unpack_callback(name) frame_callback##name
#define msgpack_unpack_object int
#define msgpack_unpack_user struct frame_user

/* One callback a kind of number: nothing to check. */
#define ACCEPT(name, type)                                              \
	static inline int frame_callback##name(struct frame_user *user, \
					       type value, int *object) \
	{                                                               \
		return 0;                                               \
	}
#define ACCEPT_EMPTY(name)                                              \
	static inline int frame_callback##name(struct frame_user *user, \
					       int *object)             \
	{                                                               \
		return 0;                                               \
	}
#define ACCEPT_BYTES(name)                                              \
	static inline int frame_callback##name(struct frame_user *user, \
					       const char *base,        \
					       const char *position,    \
					       unsigned int length,     \
					       int *object)             \
	{                                                               \
		return 0;                                               \
	}

ACCEPT(_uint8, uint8_t)
ACCEPT(_uint16, uint16_t)
ACCEPT(_uint32, uint32_t)
ACCEPT(_uint64, uint64_t)
ACCEPT(_int8, int8_t)
ACCEPT(_int16, int16_t)
ACCEPT(_int32, int32_t)
ACCEPT(_int64, int64_t)
ACCEPT(_float, float)
ACCEPT(_double, double)
ACCEPT_EMPTY(_nil)
ACCEPT_EMPTY(_true)
ACCEPT_EMPTY(_false)
ACCEPT_BYTES(_str)
ACCEPT_BYTES(_bin)

static inline int frame_callback_root(struct frame_user *user)
{
	return 0;
}

static inline int frame_callback_array(struct frame_user *user,
				       unsigned int count, int *object)
{
	if (count > user->allowance)
		return REFUSED;
	user->allowance -= count;
	return 0;
}

static inline int frame_callback_array_item(struct frame_user *user, int *list,
					    int object)
{
	return 0;
}

static inline int frame_callback_map(struct frame_user *user,
				     unsigned int count, int *object)
{
	if (!user->maps || count > user->allowance / 2)
		return REFUSED;
	user->allowance -= 2 * (gsize)count;
	return 0;
}

static inline int frame_callback_map_item(struct frame_user *user, int *map,
					  int key, int value)
{
	return 0;
}

static inline int frame_callback_ext(struct frame_user *user, const char *base,
				     const char *position, unsigned int length,
				     int *object)
{
	return REFUSED;
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wsign-compare"
/* The template keeps a key for maps that may never come. */
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#include <msgpack/unpack_template.h>
#pragma GCC diagnostic pop

static bool check(const void *data, gsize length, bool maps)
{
	struct frame_parser_context parser = {
		.user.allowance = MIN(length, AUBI_FRAME_ELEMENTS_MAX),
		.user.maps = maps,
	};
	size_t offset = 0;

	frame_parser_init(&parser);
	return frame_parser_execute(&parser, data, length, &offset) > 0;
}

bool aubi_frame_check(const void *data, gsize length)
{
	return check(data, length, false);
}

bool aubi_document_check(const void *data, gsize length)
{
	return check(data, length, true);
}
