# Targets for people: demo, check, bench, fuzz, mutants, install.
VERSION = 0.1.0
SOMAJOR = 0
PREFIX ?= /usr/local
BUILD ?= build
CC ?= gcc
PKGS = glib-2.0 jansson libcurl log4c
CPPFLAGS += -Iinclude -I. -D_GNU_SOURCE -DFFL_VERSION='"$(VERSION)"' \
	$(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CFLAGS ?= -O2 -g
WARN = -std=gnu11 -Wall -Wextra -Wno-unused-parameter -Werror=implicit
LIBS = $(shell pkg-config --libs glib-2.0 jansson) -lmsgpackc -lxxhash \
	-lsodium -lpthread
DLIBS = $(shell pkg-config --libs libcurl log4c) -lcivetweb -linih -largtable2 \
	-lurcu-bp
SAN ?=

LIB_SRCS := $(sort $(wildcard lib/*/*.c))
LIB_OBJS := $(LIB_SRCS:%.c=$(BUILD)/%.o)
DAEMON_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard daemon/*.c)))
CLI_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard cli/*.c)))
FAKE_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard fakes/*.c)))
STANDIN_OBJS := $(FAKE_OBJS) $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard standin/*.c)))
PLATFORM_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard platform/*.c)))
SITE_OBJS := $(FAKE_OBJS) $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard site/*.c)))
JOBD_OBJS := $(PLATFORM_OBJS) $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard jobd/*.c)))
TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(sort $(wildcard tests/*_test.c)))

PROGRAMS = $(BUILD)/fireflyledged $(BUILD)/ffl $(BUILD)/ffl-platform \
	$(BUILD)/ffl-jobd $(BUILD)/ffl-site

.PHONY: all programs target-programs demo check check-tests setup tests fuzz fuzzers fuzz-all \
	mutants mutant benches bench bench-compare plots capacity coverage loc format format-check tidy cppcheck lint clean
.SECONDARY:

all: programs

programs: $(PROGRAMS) $(BUILD)/libfireflyledge.a

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(WARN) $(CFLAGS) $(SAN) -fPIC -MMD -MP -c $< -o $@

$(BUILD)/libfireflyledge.a: $(LIB_OBJS)
	ar rcs $@ $^

$(BUILD)/fireflyledged: $(DAEMON_OBJS) $(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ $(DLIBS) $(LIBS)

$(BUILD)/ffl-jobd: $(JOBD_OBJS) $(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ $(shell pkg-config --libs libcurl) -lcivetweb \
		-linih -largtable2 -lgsl -lgslcblas $(LIBS)

$(BUILD)/ffl-site: $(SITE_OBJS) $(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ -lcivetweb -linih -largtable2 $(LIBS)

# What the users' platform runs; deploy/system.toml builds it.
target-programs: $(BUILD)/ffl-jobd

$(BUILD)/ffl: $(CLI_OBJS) $(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ $(DLIBS) $(LIBS)

$(BUILD)/ffl-platform: $(STANDIN_OBJS) $(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ $(DLIBS) $(LIBS)

# The shared library exports what the public headers declare, nothing else.
$(BUILD)/libfireflyledge.so.$(VERSION): $(LIB_OBJS) lib/libfireflyledge.map
	$(CC) -shared -Wl,-soname,libfireflyledge.so.$(SOMAJOR) \
		-Wl,--version-script=lib/libfireflyledge.map \
		-o $@ $(LIB_OBJS) -linih $(LIBS)

$(BUILD)/fireflyledge.pc: lib/fireflyledge.pc.in Makefile
	@mkdir -p $(@D)
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' $< >$@

INSTALL ?= install
DESTDIR ?=

install: programs $(BUILD)/libfireflyledge.so.$(VERSION) $(BUILD)/fireflyledge.pc
	$(INSTALL) -d $(addprefix $(DESTDIR)$(PREFIX)/,bin sbin \
		lib/pkgconfig include/fireflyledge share/man/man1 \
		share/man/man5 share/man/man8)
	$(INSTALL) -m 755 $(BUILD)/ffl $(DESTDIR)$(PREFIX)/bin/
	$(INSTALL) -m 755 $(BUILD)/fireflyledged $(BUILD)/ffl-jobd $(DESTDIR)$(PREFIX)/sbin/
	$(INSTALL) -m 644 include/fireflyledge/*.h \
		$(DESTDIR)$(PREFIX)/include/fireflyledge/
	$(INSTALL) -m 644 $(BUILD)/libfireflyledge.a $(DESTDIR)$(PREFIX)/lib/
	$(INSTALL) -m 755 $(BUILD)/libfireflyledge.so.$(VERSION) \
		$(DESTDIR)$(PREFIX)/lib/
	ln -sf libfireflyledge.so.$(VERSION) \
		$(DESTDIR)$(PREFIX)/lib/libfireflyledge.so.$(SOMAJOR)
	ln -sf libfireflyledge.so.$(SOMAJOR) \
		$(DESTDIR)$(PREFIX)/lib/libfireflyledge.so
	$(INSTALL) -m 644 $(BUILD)/fireflyledge.pc \
		$(DESTDIR)$(PREFIX)/lib/pkgconfig/
	$(INSTALL) -m 644 man/ffl.1 $(DESTDIR)$(PREFIX)/share/man/man1/
	$(INSTALL) -m 644 man/fireflyledged.ini.5 \
		$(DESTDIR)$(PREFIX)/share/man/man5/
	$(INSTALL) -m 644 man/fireflyledged.8 man/ffl-jobd.8 $(DESTDIR)$(PREFIX)/share/man/man8/

# Tests run under ASan and UBSan, threads under TSan, fuzzers under libFuzzer.
CHECK_SAN = -fsanitize=address,undefined -fno-sanitize-recover=undefined
FUZZ_CC ?= clang
FUZZ_FLAGS = -O1 -g -fsanitize=fuzzer-no-link,address,undefined \
	-fno-sanitize-recover=undefined
FUZZ_TARGETS := $(patsubst fuzz/%_fuzz.c,%,$(sort $(wildcard fuzz/*_fuzz.c)))
FUZZ_OBJS := $(patsubst %.c,$(BUILD)/fuzz/%.o,$(LIB_SRCS) \
	$(sort $(wildcard fakes/*.c platform/*.c)) fuzz/fuzz.c $(sort $(wildcard fuzz/*_oracle.c fuzz/*_ops.c)))
TARGET ?= config
SEED ?= 1
RUNS ?= 2000
# Runs of each target in CI.
FUZZ_CI_RUNS ?= 300

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(FAKE_OBJS) $(PLATFORM_OBJS) \
		$(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ -linih $(LIBS)

$(BUILD)/fuzz/%.o: %.c
	@mkdir -p $(@D)
	$(FUZZ_CC) $(CPPFLAGS) $(WARN) $(FUZZ_FLAGS) -MMD -MP -c $< -o $@

$(BUILD)/fuzz/%: $(BUILD)/fuzz/fuzz/%_fuzz.o $(FUZZ_OBJS)
	$(FUZZ_CC) -fsanitize=fuzzer,address,undefined -o $@ $^ -linih $(LIBS)

tests: $(TESTS)

# The fuzz targets with seeded random input in place of libFuzzer: for
# coverage, and where only gcc is at hand.
ORACLE_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard fuzz/*_oracle.c fuzz/*_ops.c)))
DRIVERS := $(FUZZ_TARGETS:%=$(BUILD)/drive/%)

$(BUILD)/drive/%: $(BUILD)/fuzz/%_fuzz.o $(BUILD)/fuzz/drive.o $(ORACLE_OBJS) $(FAKE_OBJS) \
		$(PLATFORM_OBJS) $(BUILD)/libfireflyledge.a
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $^ -linih $(LIBS)

drivers: $(DRIVERS)

# make fuzz TARGET=config SEED=1 RUNS=2000
fuzz: $(BUILD)/fuzz/$(TARGET)
	@sh scripts/fuzz.sh $(BUILD)/fuzz/$(TARGET) $(SEED) $(RUNS)

fuzzers: $(FUZZ_TARGETS:%=$(BUILD)/fuzz/%)

fuzz-all: fuzzers
	@sh scripts/fuzz-all.sh $(FUZZ_CI_RUNS) $(FUZZ_TARGETS)

mutants:
	@sh scripts/mutants.sh

# Benchmarks print JSON lines; the table is for people.
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(sort $(wildcard bench/*_bench.c)))

$(BUILD)/bench/%_bench: $(BUILD)/bench/%_bench.o $(BUILD)/bench/bench.o \
		$(FAKE_OBJS) $(BUILD)/libfireflyledge.a
	$(CC) $(SAN) -o $@ $^ -linih $(LIBS)

$(BUILD)/bench/loopback: $(BUILD)/bench/loopback.o $(BUILD)/bench/bench.o
	$(CC) $(SAN) -o $@ $^ $(shell pkg-config --libs libcurl) $(LIBS)

benches: $(BENCHES) $(BUILD)/bench/loopback

bench: benches programs
	@sh scripts/bench.sh

# make bench-compare BASE=rev: the same benchmarks at an earlier revision.
bench-compare:
	@sh scripts/bench-compare.sh $(BASE)

plots:
	@sh scripts/plots.sh

capacity:
	@sh scripts/capacity.sh write

coverage:
	@sh scripts/coverage.sh

loc:
	@sh scripts/loc.sh

# Builds one driver with one file replaced; called by scripts/mutant.sh.
mutant:
	$(CC) $(CPPFLAGS) $(WARN) $(CFLAGS) -iquote $(dir $(FILE)) \
		-c $(MUTANT) -o $(MUTANT).o
	$(CC) -o $(OUT) $(MUTANT).o $(BUILD)/fuzz/$(TARGET)_fuzz.o \
		$(BUILD)/fuzz/drive.o $(ORACLE_OBJS) $(FAKE_OBJS) \
		$(PLATFORM_OBJS) $(filter-out $(BUILD)/$(FILE:.c=.o),$(LIB_OBJS)) -linih $(LIBS)

check: setup
	@$(MAKE) -s -j check-tests

check-tests: programs
	@$(MAKE) -s -j BUILD=build/asan SAN="$(CHECK_SAN)" CFLAGS="-O1 -g" \
		programs tests
	@$(MAKE) -s -j BUILD=build/tsan SAN="-fsanitize=thread" \
		CFLAGS="-O1 -g" build/tsan/tests/ring_test \
		build/tsan/fireflyledged
	@$(MAKE) -s -j fuzzers
	@$(MAKE) -s fuzz-all
	@prove build/asan/tests/*_test build/tsan/tests/*_test tests/*.sh

setup:
	@sh scripts/setup.sh

demo: setup
	@$(MAKE) -s -j programs
	@sh scripts/demo.sh

SOURCES := $(sort $(wildcard include/*/*.h lib/*/*.[ch] daemon/*.[ch] \
	cli/*.[ch] jobd/*.[ch] platform/*.[ch] site/*.[ch] standin/*.[ch] fakes/*.[ch] fuzz/*.[ch] tests/*.[ch] \
	bench/*.[ch]))

format:
	clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

TIDY_SOURCES = $(LIB_SRCS) $(wildcard daemon/*.c cli/*.c jobd/*.c \
	platform/*.c site/*.c standin/*.c)

# A stamp for each file, so that only what changed is checked again.
$(BUILD)/tidy/%.ok: %.c .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 >$@.log 2>&1 || \
		{ cat $@.log; exit 1; }
	@touch $@

tidy: $(TIDY_SOURCES:%.c=$(BUILD)/tidy/%.ok)

cppcheck:
	@cppcheck --quiet --std=c11 --enable=warning,portability \
		--suppress=missingIncludeSystem --inline-suppr -Iinclude -I. \
		--error-exitcode=1 -j 4 lib daemon cli jobd platform site standin

lint: format-check tidy cppcheck

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
