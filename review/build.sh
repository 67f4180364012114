#!/bin/bash
# Builds the stand-ins of the scripts into review/out. Needs gcc and libc only.
set -e
cd "$(dirname "$0")"
mkdir -p out
for source in standins/*.c; do
	name=$(basename "$source" .c)
	[ "$name" = standin ] && continue
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -pthread \
		-o "out/$name" "$source" standins/standin.c
done
