/*
 * Entry points of the fuzz targets. libFuzzer requires the same name for all;
 * for the test that replays the corpora each is named after its file.
 */
#ifndef FUZZ_H
#define FUZZ_H

#include <glib.h>

G_BEGIN_DECLS

#ifdef FUZZ_REPLAY
int fuzz_toml(const guint8 *data, gsize size);
int fuzz_message(const guint8 *data, gsize size);
int fuzz_pack(const guint8 *data, gsize size);
int fuzz_assignments(const guint8 *data, gsize size);
int fuzz_config(const guint8 *data, gsize size);
int fuzz_store_page(const guint8 *data, gsize size);
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size);
#endif

G_END_DECLS

#endif
