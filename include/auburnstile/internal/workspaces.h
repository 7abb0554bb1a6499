/*
 * The workspaces of a configuration: who holds an API key, and what a workspace
 * may use.
 *
 * API keys are stored as keyed digests only (HMAC-SHA256 under a random secret
 * of the table). A lookup compares digests that callers can't predict, so its
 * duration tells nothing about a key.
 */
#ifndef AUBURNSTILE_INTERNAL_WORKSPACES_H
#define AUBURNSTILE_INTERNAL_WORKSPACES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_KEY_SECRET_BYTES 32
#define AUB_KEY_DIGEST_BYTES 32
/* of a name */
#define AUB_WORKSPACE_BYTES_MAX 255
/* Longer keys are refused before they are hashed. */
#define AUB_KEY_BYTES_MAX 512

struct aub_workspaces;

struct aub_workspace {
	char *name;
	guint priority; /* 0 is the highest; precedes that of the route */
	double rate_per_s; /* requests of all gateways together; 0: no limit */
	double burst; /* requests beyond the rate */
};

/*
 * Returns an empty table. `secret` has AUB_KEY_SECRET_BYTES bytes; NULL
 * generates one.
 */
struct aub_workspaces *aub_workspaces_new(const guint8 *secret);
void aub_workspaces_free(struct aub_workspaces *workspaces);

/*
 * Adds a copy of `workspace`. Returns its index, or -1 with AUB_ERROR_INVALID
 * set if the name is taken or can't stand in a header.
 */
gint aub_workspaces_add(struct aub_workspaces *workspaces,
			const struct aub_workspace *workspace, GError **error);
/*
 * Gives a key to the workspace at `index`. Returns false with AUB_ERROR_INVALID
 * set if another workspace has it; the error doesn't contain the key.
 */
bool aub_workspaces_add_key(struct aub_workspaces *workspaces, guint index,
			    const char *key, GError **error);
/* The same for a key of which only the digest is known. */
bool aub_workspaces_add_digest(struct aub_workspaces *workspaces, guint index,
			       const guint8 *digest, GError **error);

/* Returns the holder of `key`, or NULL. Borrowed. */
const struct aub_workspace *aub_workspaces_find(
	const struct aub_workspaces *workspaces, const char *key);

guint aub_workspaces_count(const struct aub_workspaces *workspaces);
const struct aub_workspace *aub_workspaces_get(
	const struct aub_workspaces *workspaces, guint index);

/* Sets `secret` to AUB_KEY_SECRET_BYTES random bytes. */
void aub_key_secret_generate(guint8 *secret);
/* Sets `digest` to the AUB_KEY_DIGEST_BYTES bytes that stand for `key`. */
void aub_key_digest(const guint8 *secret, const char *key, gsize length,
		    guint8 *digest);

G_END_DECLS

#endif
