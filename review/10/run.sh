#!/bin/sh
exec sh "$(dirname "$0")/../common-2/run.sh" 10 ReloadInOutage
