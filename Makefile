# auburnstile: build, tests, demonstration and measurements.
#
#   make            release build of programs and tools into build/
#   make demo       a fleet on loopback, a load, a zone out and back
#   make proofs     what must always hold, under faults, with real processes
#   make check      sanitizer build, all tests, ends with "N passed, N failed"
#   make format     rewrite sources in the project's format
#   make lint       formatter and linter, changing nothing
#   make fuzz       bounded fuzzing of the decoders and of the dispatcher
#   make bench      measure policies, faults and the limit (long)
#   make bench-short  one row of each, under 55 s
#   make soak       gateways under random faults, SOAK_RUNS seeds from SOAK_SEED
#   make slopes     how the cost grows with nodes, upstreams, changes
#
# SAN=1 selects the sanitizer build, which lives in build/san; FUZZ=1 the one
# for libFuzzer, by clang, in build/fuzz.

CC = $(if $(FUZZ),clang,gcc)
CXX = $(if $(FUZZ),clang++,g++)
PKGS = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 msgpack json-glib-1.0
B = build$(if $(SAN),/san)$(if $(FUZZ),/fuzz)

WARN = -Wall -Wextra -Wshadow -Wno-unused-parameter
CPPFLAGS = -Iinclude -Itools -Iplatform -D_GNU_SOURCE -DG_LOG_DOMAIN=\"auburnstile\" \
	$(shell pkg-config --cflags $(PKGS) 2>/dev/null | sed 's/-I/-isystem /g')
OPT = $(if $(SAN),-O1 -fsanitize=address$(comma)undefined \
	-fno-omit-frame-pointer -fno-sanitize-recover=undefined,$(if $(FUZZ),\
	-O1 -fsanitize=fuzzer-no-link$(comma)address$(comma)undefined \
	-fno-sanitize-recover=undefined,-O2))
comma = ,
CFLAGS = -std=gnu11 -g $(WARN) -Wmissing-prototypes $(OPT)
CXXFLAGS = -std=c++20 -g $(WARN) $(OPT)
LDLIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm \
	-lstdc++
TESTLIBS = -lrapidcheck -lgtest -lgtest_main -lpthread $(LDLIBS)

LIB_SRC = $(sort $(wildcard src/*/*.c) $(wildcard platform/*.c))
LIB_CXX = $(sort $(wildcard src/*/*.cc))
LIB_OBJ = $(LIB_SRC:%.c=$(B)/obj/%.o) $(LIB_CXX:%.cc=$(B)/obj/%.o)
CTL_OBJ = $(patsubst %.c,$(B)/obj/%.o,$(sort $(wildcard programs/ctl/*.c)))
PROGRAMS = $(patsubst programs/%.c,$(B)/%,$(wildcard programs/*.c))
TOOLS = $(patsubst tools/%.c,$(B)/%,$(wildcard tools/*.c))
TOOL_LIB_OBJ = $(patsubst %.c,$(B)/obj/%.o,$(sort $(wildcard tools/*/*.c)))
FUZZERS = $(patsubst fuzz/%.c,%,$(sort $(wildcard fuzz/fuzz_*.c)))
FUZZ_SECONDS = 20
FUZZ_SEQUENCES = 10000
TESTS = $(patsubst tests/%.cc,$(B)/tests/%,$(sort $(wildcard tests/test_*.cc)))
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc')

all: $(B)/libauburnstile.a $(PROGRAMS) $(TOOLS)

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(B)/obj/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(B)/libauburnstile.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(B)/libfleet.a: $(TOOL_LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(B)/auburnstilectl: $(CTL_OBJ)

$(PROGRAMS): $(B)/%: $(B)/obj/programs/%.o $(B)/libauburnstile.a
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(TOOLS): $(B)/%: $(B)/obj/tools/%.o $(B)/libfleet.a $(B)/libauburnstile.a
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(TESTS): $(B)/tests/%: $(B)/obj/tests/%.o $(B)/libfleet.a \
		$(B)/libauburnstile.a
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(TESTLIBS)

$(B)/obj/fuzz/%.o: CPPFLAGS += $(if $(FUZZ),,-DFUZZ_REPLAY)
$(B)/obj/tests/test_corpus.o: CPPFLAGS += -Ifuzz -DFUZZ_REPLAY
$(B)/tests/test_corpus: $(FUZZERS:%=$(B)/obj/fuzz/%.o)

$(FUZZERS:%=build/fuzz/%): build/fuzz/%: build/fuzz/obj/fuzz/%.o \
		build/fuzz/libauburnstile.a
	$(CXX) -fsanitize=fuzzer$(comma)address$(comma)undefined -o $@ $^ \
		$(LDLIBS)

fuzz-build: $(FUZZERS:%=build/fuzz/%)

fuzz:
	@$(MAKE) --no-print-directory -s FUZZ=1 -j$$(nproc) fuzz-build
	@sh fuzz/run.sh build/fuzz $(FUZZ_SECONDS) $(FUZZERS)
	@$(MAKE) --no-print-directory -s SAN=1 -j$$(nproc) \
		build/san/tests/test_dispatch_state
	AUB_FUZZ_SEQUENCES=$(FUZZ_SEQUENCES) \
		build/san/tests/test_dispatch_state

tests: $(TESTS)

# Packages first, then a new make: this one looked for them when it started.
packages:
	@sh tools/packages.sh

check: packages
	@$(MAKE) --no-print-directory -s SAN=1 -j$$(nproc) all tests
	@$(MAKE) --no-print-directory -s -j$$(nproc) all
	@sh tests/run.sh build/san build

proofs: all
	@$(B)/proofs $(PROOFS)

SOAK_SEED = 1
SOAK_RUNS = 10
soak: all
	@$(B)/soak --seed $(SOAK_SEED) --runs $(SOAK_RUNS)

slopes: all
	@$(B)/slopes

bench: all
	@test -d build/bench || rm -f build/bench
	@$(B)/fleet-bench build/bench

bench-short: all
	@test -d build/bench || rm -f build/bench
	@$(B)/fleet-bench --short build/bench

demo: packages
	@$(MAKE) --no-print-directory -s -j$$(nproc) all
	@$(B)/demo

format:
	clang-format -i $(SOURCES)

lint:
	@clang-format --dry-run -Werror $(SOURCES)
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P $$(nproc) -n 1 \
		sh -c 'clang-tidy --quiet "$$0" -- $(CPPFLAGS) -std=gnu11 \
		2>/dev/null || { echo "lint: $$0"; exit 1; }'

clean:
	rm -rf build target

.PHONY: all packages tests check demo proofs soak slopes format fuzz fuzz-build lint clean
.SECONDARY:

-include $(shell find build target -name '*.d' 2>/dev/null)
