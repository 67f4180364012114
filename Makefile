# Build, tests and demonstration of catkinstall.
#   make          build the programs
#   make demo     run a daemon and its endpoints, one call of each priority
#   make check    build and run all tests
#   make lint     formatter and linter
#   make soak     fifty seeds of the randomized soak, about half an hour
#   make bench    measurements (not a test)
#   make deps     install the Debian packages that are missing
#   make proto    regenerate the code of the messages between instances

CC = gcc
CFLAGS = -O2 -g
BUILD = build
# What the programs need, and what tests, benchmarks and the linter add.
PACKAGES = glib-2.0 gio-2.0 libsoup-3.0 json-glib-1.0 libprotobuf-c libxxhash gsl
TEST_PACKAGES = cmocka
DEBIAN_PACKAGES = $(shell sed -n 's/^packages = \[\(.*\)\]/\1/p' \
	deploy/system.toml | tr -d '",')
DEBIAN_TEST_PACKAGES = libcmocka-dev protobuf-c-compiler spin strace git \
	clang-format clang-tidy

ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE -I. -Wall -Wextra -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Werror $(CFLAGS)
# Without this check, flags of a package that pkg-config does not find would be
# empty, and the compiler would report a missing header instead.
pkg_config = $(shell pkg-config $(1))$(if $(filter 0,$(.SHELLSTATUS)),,$(error \
	pkg-config $(1) failed: install $(DEBIAN_PACKAGES)$(2), or run make deps))
# lib/ may use only GLib and xxHash: an include of anything else fails.
LIB_FLAGS = $(call pkg_config,--cflags glib-2.0 libxxhash)
ALL_FLAGS = $(call pkg_config,--cflags $(PACKAGES))
TEST_FLAGS = $(call pkg_config,--cflags $(TEST_PACKAGES), $(DEBIAN_TEST_PACKAGES))
LIBS = $(call pkg_config,--libs $(PACKAGES)) -lhttp_parser -lm
LIB_ONLY = $(call pkg_config,--libs glib-2.0 libxxhash) -lm
TEST_LIBS = $(call pkg_config,--libs $(TEST_PACKAGES), $(DEBIAN_TEST_PACKAGES))

LIB_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard lib/*/*.c))
NET_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard codec/*.c net/*.c platform/*.c \
	proto/*.c))
CTL_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/ctl_*.c))
# Code that several tests or benchmarks share, not a program of its own.
TEST_SUPPORT = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/support*.c))

PROGRAMS = $(BUILD)/catkinstalld $(BUILD)/catkinctl
FAKES = $(patsubst tests/fakes/%.c,$(BUILD)/%,$(wildcard tests/fakes/*.c))
TESTS = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_*.c))
SOAK_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))
BENCHES = $(patsubst bench/%.c,$(BUILD)/%,$(wildcard bench/*.c))

all: $(PROGRAMS)

deps:
	@dpkg -s $(DEBIAN_PACKAGES) $(DEBIAN_TEST_PACKAGES) >/dev/null 2>&1 || \
	{ apt-get update && apt-get install -y --no-install-recommends \
	$(DEBIAN_PACKAGES) $(DEBIAN_TEST_PACKAGES); }

$(BUILD)/lib/%.o: lib/%.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(ALL_CFLAGS) $(LIB_FLAGS) -MMD -MP -c $< -o $@

# Generated code keeps the generator's own style.
$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) -std=gnu11 -I. $(CFLAGS) $(ALL_FLAGS) -MMD -MP -c $< -o $@

$(BUILD)/tests/%.o: ALL_CFLAGS += $(TEST_FLAGS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(ALL_CFLAGS) $(ALL_FLAGS) -MMD -MP -c $< -o $@

$(BUILD)/libcatkinstall.a: $(LIB_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/libcatkinstall-net.a: $(NET_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

LINK_ALL = $(BUILD)/libcatkinstall-net.a $(BUILD)/libcatkinstall.a

$(BUILD)/catkinstalld: $(BUILD)/programs/catkinstalld.o \
		$(BUILD)/programs/daemon.o $(LINK_ALL)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(LIBS)

# The daemon with a faulty retry rule or a faulty shutdown rule, whose faults the
# tests must detect; never installed.
$(BUILD)/catkinstalld_naive: programs/catkinstalld.c \
		$(BUILD)/tests/naive/naive_rule.o \
		$(BUILD)/programs/daemon.o $(LINK_ALL)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $(ALL_FLAGS) -DCATK_RETRY_RULE=retry_rule_naive \
	-o $@ $^ $(LIBS)

$(BUILD)/catkinstalld_naive_shutdown: programs/catkinstalld.c \
		$(BUILD)/tests/naive/naive_shutdown_rule.o \
		$(BUILD)/programs/daemon.o $(LINK_ALL)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $(ALL_FLAGS) \
	-DCATK_SHUTDOWN_RULE=shutdown_rule_take_all -o $@ $^ $(LIBS)

$(BUILD)/catkinctl: $(BUILD)/programs/catkinctl.o $(CTL_OBJECTS) $(LINK_ALL)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(LIBS)

$(FAKES): $(BUILD)/%: $(BUILD)/tests/fakes/%.o $(LINK_ALL)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(LIBS)

$(BUILD)/soak: $(SOAK_OBJECTS) $(BUILD)/tests/support.o $(LINK_ALL)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(LIBS)

$(TESTS): $(BUILD)/%: $(BUILD)/tests/%.o $(TEST_SUPPORT) $(LINK_ALL)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(LIBS) $(TEST_LIBS)

$(BENCHES): $(BUILD)/%: $(BUILD)/bench/%.o $(TEST_SUPPORT) $(LINK_ALL)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(LIBS)

# Proves that lib/ links without sockets, HTTP or protobuf-c.
$(BUILD)/lib_links_alone: $(BUILD)/libcatkinstall.a
	@echo 'int main(void) { return 0; }' > $(BUILD)/empty_main.c
	@echo "LD $@"
	@$(CC) -o $@ $(BUILD)/empty_main.c -Wl,--whole-archive $< \
	-Wl,--no-whole-archive $(LIB_ONLY)

# Run by hand only. The generated code is committed, and a rule by file times
# would require the generator after some checkouts.
proto:
	protoc-c --c_out=. proto/peer.proto

build-all: deps
	$(MAKE) all $(FAKES) $(TESTS) $(BUILD)/soak \
	$(BUILD)/catkinstalld_naive \
	$(BUILD)/catkinstalld_naive_shutdown \
	$(BUILD)/lib_links_alone

check: build-all
	tests/run $(BUILD)

# All tests with AddressSanitizer, in a separate build folder. The system's proxy
# resolver throws C++ exceptions, which AddressSanitizer does not support in a C
# program.
asan:
	G_SLICE=always-malloc ASAN_OPTIONS=detect_leaks=0 \
	GIO_USE_PROXY_RESOLVER=dummy $(MAKE) check \
	BUILD=build-asan CFLAGS='-O1 -g -fsanitize=address' \
	LIB_ONLY='$(LIB_ONLY) -fsanitize=address' CC='gcc -fsanitize=address'

demo: deps
	$(MAKE) all $(FAKES)
	examples/demo $(BUILD)

# Fifty seeds, one after the other; a failed one keeps its logs in the build
# folder.
soak: build-all
	@failed=0; for seed in $$(seq 1 50); do \
	TEST_BUILD=$(BUILD) $(BUILD)/soak --seed $$seed || failed=$$((failed + 1)); \
	done; echo "$$failed of 50 seeds failed"; [ $$failed -eq 0 ]

bench: deps
	$(MAKE) all $(FAKES) $(BENCHES)
	bench/added-latency $(BUILD)

SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v pb-c)

lint:
	@clang-format --dry-run -Werror $(SOURCES)
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P 8 -n 4 \
	sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 -D_GNU_SOURCE -I. \
	$(ALL_FLAGS) $(TEST_FLAGS) 2>/dev/null' sh

format:
	@clang-format -i $(SOURCES)

clean:
	rm -rf $(BUILD) build-asan

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all deps build-all check demo soak bench lint asan format clean proto
