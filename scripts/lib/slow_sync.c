/* Delays fsync and fdatasync of the program that preloads it, as a slow or stalling disk does. The file that
   FIGHATCH_SYNC_TIME names holds three integers: the milliseconds of each sync, and the percentage of the syncs that stall
   with the milliseconds of a stall. Without the file syncs are not delayed.
   Build: cc -shared -fPIC -O1 -o slow_sync.so slow_sync.c -ldl */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

typedef int (*SyncCall)(int);

static int DelayMs(void) {
  const char* name = getenv("FIGHATCH_SYNC_TIME");
  FILE* file = name ? fopen(name, "r") : NULL;
  if (!file) return 0;
  int sync_ms = 0, stall_percent = 0, stall_ms = 0;
  const int fields = fscanf(file, "%d %d %d", &sync_ms, &stall_percent, &stall_ms);
  fclose(file);
  if (fields != 3) return 0;
  struct timespec now;
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_nsec / 1000 % 100 < stall_percent ? stall_ms : sync_ms;
}

static int CallDelayed(const char* name, int descriptor) {
  const int delay_ms = DelayMs();
  const struct timespec delay = {delay_ms / 1000, delay_ms % 1000 * 1000000L};
  if (delay_ms > 0) nanosleep(&delay, NULL);
  return ((SyncCall)dlsym(RTLD_NEXT, name))(descriptor);
}

int fsync(int descriptor) { return CallDelayed("fsync", descriptor); }

int fdatasync(int descriptor) { return CallDelayed("fdatasync", descriptor); }
