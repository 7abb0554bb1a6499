/*
 * Validates a msgpack frame before it is decoded.
 *
 * msgpack's decoder allocates memory for a list as soon as it has read the
 * list's length, so that five bytes can request 100 GB and one damaged or
 * hostile frame could terminate the process. Therefore the elements are
 * counted first: each one takes at least one byte, so a frame that announces
 * more elements than it has bytes is malformed and is rejected before anything
 * is allocated.
 *
 * The check instantiates msgpack's own parser template with callbacks that
 * only count. Maps occur in documents but not in the protocol; extension types
 * occur in neither.
 */
#include <auburnstile/internal/frame_check.h>

#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

/* State of the callbacks. The parser's result objects are not used. */
struct frame_counter {
	gsize elements_left; /* number that may still be announced */
	bool allow_maps; /* true for documents, false for frames */
};

#define CALLBACK_ERROR (-1)

#define msgpack_unpack_struct(name) struct frame_parser##name
#define msgpack_unpack_func(ret, name) \
	G_GNUC_UNUSED static ret frame_parser##name
#define msgpack_unpack_callback(name) frame_callback##name
#define msgpack_unpack_object int
#define msgpack_unpack_user struct frame_counter

/* Callbacks for types that need no check. */
#define ACCEPT(name, type)                                                 \
	static inline int frame_callback##name(struct frame_counter *user, \
					       type value, int *object)    \
	{                                                                  \
		return 0;                                                  \
	}
#define ACCEPT_EMPTY(name)                                                 \
	static inline int frame_callback##name(struct frame_counter *user, \
					       int *object)                \
	{                                                                  \
		return 0;                                                  \
	}
#define ACCEPT_BYTES(name)                                                 \
	static inline int frame_callback##name(struct frame_counter *user, \
					       const char *base,           \
					       const char *position,       \
					       unsigned int length,        \
					       int *object)                \
	{                                                                  \
		return 0;                                                  \
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

static inline int frame_callback_root(struct frame_counter *user)
{
	return 0;
}

static inline int frame_callback_array(struct frame_counter *user,
				       unsigned int count, int *object)
{
	if (count > user->elements_left)
		return CALLBACK_ERROR;
	user->elements_left -= count;
	return 0;
}

static inline int frame_callback_array_item(struct frame_counter *user,
					    int *list, int object)
{
	return 0;
}

static inline int frame_callback_map(struct frame_counter *user,
				     unsigned int count, int *object)
{
	if (!user->allow_maps || count > user->elements_left / 2)
		return CALLBACK_ERROR;
	user->elements_left -= 2 * (gsize)count;
	return 0;
}

static inline int frame_callback_map_item(struct frame_counter *user, int *map,
					  int key, int value)
{
	return 0;
}

static inline int frame_callback_ext(struct frame_counter *user,
				     const char *base, const char *position,
				     unsigned int length, int *object)
{
	return CALLBACK_ERROR;
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wsign-compare"
/* The template's variable for map keys may remain unset. */
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#include <msgpack/unpack_template.h>
#pragma GCC diagnostic pop

static bool check_elements(const void *data, gsize length, bool allow_maps)
{
	struct frame_parser_context parser = {
		.user.elements_left = MIN(length, AUBI_FRAME_ELEMENTS_MAX),
		.user.allow_maps = allow_maps,
	};
	size_t offset = 0;

	frame_parser_init(&parser);
	return frame_parser_execute(&parser, data, length, &offset) > 0;
}

bool aubi_frame_check(const void *data, gsize length)
{
	return check_elements(data, length, false);
}

bool aubi_document_check(const void *data, gsize length)
{
	return check_elements(data, length, true);
}
