"""Lays the sites here beside what the bench's kit keeps for one: python3 lay.py FOLDER-OF-THE-KIT'S-SITES."""

import json
import pathlib
import shutil
import sys
import tomllib

BASE = "bkk-media.toml"
BESIDE = ["real.json", "wire.json", "design.json", "unlock.txt"]


def merged(old, new):
    """A table key by key; anything else is replaced."""
    if isinstance(old, dict) and isinstance(new, dict):
        return {k: merged(old.get(k), new[k]) if k in new else old[k] for k in {**old, **new}}
    return new


def written(table, path=""):
    """A table as TOML: its own keys first, then the tables within it."""
    lines, within = [], []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            within += [f"\n[{name}]", *written(value, name)]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for one in value:
                within += [f"\n[[{name}]]", *written(one, name)]
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    return lines + within


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    kit = pathlib.Path(sys.argv[1])
    here = pathlib.Path(__file__).parent
    laid = here / "laid"
    laid.mkdir(exist_ok=True)
    try:
        base = tomllib.loads((kit / BASE).read_text())
        for name in BESIDE:
            shutil.copyfile(kit / name, laid / name)
    except OSError as e:
        sys.exit(f"{e.filename}: {e.strerror}")
    for site in sorted(here.glob("*.toml")):
        own = tomllib.loads(site.read_text())
        (laid / site.name).write_text("\n".join(written(merged(base, own))) + "\n")
        print(laid / site.name)


main()
