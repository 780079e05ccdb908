# Targets for users (run, test) and developers (bench, lint, format, sanitize, clean).
.PHONY: run test bench lint format sanitize clean

build/.configured: scripts/setup
	scripts/setup
	mkdir -p build && touch $@

run: build/.configured
	scripts/build
	scripts/run

test: build/.configured
	scripts/build
	scripts/test

# Runs all benchmarks, or a single one: make bench ONLY=rollout
bench: build/.configured
	scripts/build
	build/greengageseam-bench $(ONLY)

lint: build/.configured
	scripts/lint

format: build/.configured
	git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v generated/ | xargs clang-format-19 -i

sanitize: build/.configured
	scripts/sanitize

clean:
	rm -rf build build-lint build-address build-thread
