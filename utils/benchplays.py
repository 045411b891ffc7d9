"""Single plays of a day by the users' bench, for the scripts beside this file."""

import re
import subprocess
import sys

FIRST_SEED = 7001
ROW = re.compile(r"^(?P<day>\S+)\s+\d+/\d+\s+(?P<score>[\d.]+)\s+(?P<worth>[\d.]+)\s+"
                 r"(?P<served>[\d.]+)\s+(?P<refused>[\d.]+)\s+(?P<failed>[\d.]+)\s")
# A row of the tables by class and by time: asked, in aim, late, refused, failed, not owed, worth.
COUNTS = re.compile(r"^(?P<name>\S+)\s+(?P<asked>\d+)\s+(?P<in_aim>\d+)\s+\d+\s+\d+\s+\d+\s+"
                    r"(?P<not_owed>\d+)\s+(?P<worth>[\d.]+)\s")


class Play:
    """One day with one seed, as it was played."""

    def __init__(self, day, seed, output):
        self.day = day
        self.seed = seed
        self.worth = None
        self.served = self.refused = self.failed = 0.0
        self.in_time = 0.0  # share of the requests that were owed
        self.worst = (0.0, 0)  # worth of the worst two seconds, and when they began
        self.broken = ""
        owed = in_aim = 0
        windows = []
        table = ""
        for line in output.splitlines():
            row = ROW.match(line)
            counts = COUNTS.match(line)
            if row and row["day"] == day and self.worth is None:
                self.worth = float(row["worth"])
                self.served = float(row["served"])
                self.refused = float(row["refused"])
                self.failed = float(row["failed"])
            elif counts and table == "class":
                owed += int(counts["asked"]) - int(counts["not_owed"])
                in_aim += int(counts["in_aim"])
            elif counts and table == "from":
                windows.append((float(counts["worth"]), int(counts["name"])))
            elif not counts:
                table = line.split(" ")[0]
            if line.startswith("rules broken:"):
                self.broken = line.removeprefix("rules broken:").strip()
        self.in_time = in_aim / owed if owed else 0.0
        self.worst = min(windows, default=self.worst)

    @property
    def name(self):
        return f"{self.day}/{self.seed}"


def days_in(path):
    """The names of the days that a site file or a file of a day holds."""
    with open(path, encoding="utf-8") as file:
        return re.findall(r'\[\[day\]\]\nname = "([^"]+)"', file.read())


def standard_seeds(count):
    """The day's own seed, 0, and others that are always the same."""
    return [0] + [FIRST_SEED + i for i in range(count - 1)]


def play(bench, checkout, site, day, seed, why, *options):
    command = [bench, "run", site, day, "--why", why, *options]
    if seed:
        command += ["--seed", str(seed)]
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    name = days_in(day)[0] if day.endswith(".toml") else day
    played = Play(name, seed, done.stdout + done.stderr)
    if played.worth is None:
        sys.exit(f"{checkout}: {day} with seed {seed} wasn't played:\n{done.stdout}{done.stderr}")
    return played


def build(bench, checkout):
    done = subprocess.run([bench, "build"], cwd=checkout, capture_output=True, text=True,
                          check=False)
    if done.returncode != 0:
        sys.exit(f"{checkout} can't be built:\n{done.stdout}{done.stderr}")
