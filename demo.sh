#!/usr/bin/env bash
echo "demo: no binaries yet"
