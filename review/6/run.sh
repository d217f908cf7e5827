#!/bin/sh
exec "$(dirname "$0")/../lab-2/run-case.sh" extra_answer "$(dirname "$0")"
