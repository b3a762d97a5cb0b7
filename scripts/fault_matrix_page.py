"""Prints docs/FAULTS.md: fault_matrix_page.py SEEDS TABLE_FILE. See scripts/fault-matrix."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def invariants():
    """The numbered list of docs/design.md, as (number, text)."""
    section = (ROOT / "docs/design.md").read_text().split("### Invariants", 1)[1].split("\nLiveness:", 1)
    found = re.findall(r"^(\d+)\. (.+(?:\n(?!\d+\. |\n).+)*)", section[0], re.M)
    liveness = section[1].split("\n\n", 1)[0]
    return [*found, ("Liveness", liveness.strip())]


def parse_table(table):
    """The steps, and (fault, [cell, ...]) of each row."""
    lines = [[c.strip() for c in line.strip().strip("|").split("|")] for line in table.splitlines() if line.strip()]
    return lines[0][1:], [(line[0], line[1:]) for line in lines[2:]]


def unproved(table):
    steps, faults = parse_table(table)
    return [f"{fault} at {step}: {cell.replace('**', '')}"
            for fault, cells in faults for step, cell in zip(steps, cells, strict=True)
            if not cell.startswith("proved")]


def main():
    seeds, path = sys.argv[1:]
    table = pathlib.Path(path).read_text()
    steps, faults = parse_table(table)
    print("# Faults\n")
    print(f"Every fault ({len(faults)}) alone at every step of a job's life ({len(steps)}); seeds of a cell: {seeds}. "
          "A cell is proved if\nno seeded history breaks an invariant. Generated; do not edit:\n")
    print(f"```sh\nFOXTAILRUDDER_SEEDS={seeds} scripts/fault-matrix\n```\n")
    print("## Invariants checked in each history\n")
    for number, text in invariants():
        text = " ".join(text.split())
        print(f"- {number}: {text}" if number == "Liveness" else f"{number}. {text}")
    print("\n## Matrix\n")
    print(table.strip() + "\n")
    unproved_cells = unproved(table)
    print(f"Unproved cells ({len(unproved_cells)} of {len(steps) * len(faults)}): "
          + ("; ".join(unproved_cells) if unproved_cells else "none") + ".")


main()
