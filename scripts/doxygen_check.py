#!/usr/bin/env python3
"""Finds public functions in the headers of src whose Doxygen comment lacks
@brief, @param or @return. It reads declarations by simple rules: it follows
namespaces and public parts of classes, and passes over function bodies,
overrides, operators, destructors and defaulted or deleted functions."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = re.compile(r"/\*\*.*?\*/|/\*.*?\*/|//[^\n]*|^[ \t]*#(?:\\\n|[^\n])*"
                   r'|"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\'|[{};]|[^{};/"\'#]+|.',
                   re.S | re.M)
EXEMPT = re.compile(r"\boperator\b|\boverride\b|\bfriend\b|=\s*(default|delete)$|~\w+\s*\(")


def strip_angles(text):
    """Drops template arguments."""
    before = None
    while before != text:
        before, text = text, re.sub(r"<[^<>]*>", "", text)
    return text


def split_parameters(text):
    parts, depth, last = [], 0, 0
    for n, c in enumerate(text):
        depth += c in "([{"
        depth -= c in ")]}"
        if c == "," and depth == 0:
            parts.append(text[last:n])
            last = n + 1
    parts.append(text[last:])
    return [it.strip() for it in parts if it.strip()]


def parameter_name(text):
    """Name of a parameter; empty if it has none."""
    text = re.sub(r"\s*=.*$", "", text, flags=re.S).strip()
    found = re.search(r"(?:[\w>\])]\s+|[&*]\s*)(\w+)$", text)
    return found.group(1) if found else ""


def parse_function(statement):
    """Return type, name and parameters of a function declaration, or None."""
    text = re.sub(r"\[\[[^\]]*\]\]", "", statement)
    text = re.sub(r"^\s*template\s*<", "<", text)
    text = " ".join(strip_angles(text).split())
    if re.match(r"[^(]*\(\s*\*", text):
        return None  # a pointer to a function
    found = re.match(r"^((?:[\w:&*]+[\s&*]+)*?)(\w+)\s*\(", text)
    if not found or EXEMPT.search(text) or re.match(r"(using|typedef|return)\b", text):
        return None
    depth, end = 0, found.end() - 1
    for end in range(found.end() - 1, len(text)):
        depth += {"(": 1, ")": -1}.get(text[end], 0)
        if depth == 0:
            break
    returns = re.sub(r"\b(explicit|inline|constexpr|static|virtual|extern)\b", "",
                     found.group(1)).strip()
    if returns == "auto" and "->" in text:
        returns = text.split("->")[-1].strip()
    return returns, found.group(2), split_parameters(text[found.end():end])


def faults_of(statement, doc):
    function = parse_function(statement)
    if function is None:
        return
    returns, name, parameters = function
    names = [it for it in map(parameter_name, parameters) if it]
    if not returns and not names:
        return
    if "@copydoc" in doc or "@copydetails" in doc:
        return
    if not doc:
        yield f"{name}: no comment"
        return
    for it in names:
        if not re.search(rf"@param\s+{it}\b", doc):
            yield f"{name}: no @param {it}"
    if returns not in ("", "void") and "@return" not in doc:
        yield f"{name}: no @return"
    if not re.search(r"@brief|^/\*\* @(return|param)", doc):
        yield f"{name}: no @brief"


class scanner:
    def __init__(self):
        # Each scope: whether its declarations are public, and whether it is.
        self.scopes = [(True, True)]
        self.documented = set()
        self.statement = ""
        self.doc = ""
        self.faults = []

    def end_statement(self, line):
        function = self.scopes[-1][0] and parse_function(self.statement)
        if function and self.doc:
            self.documented.add(function[1])
        # A definition after its declaration needs no second comment.
        if function and (self.doc or function[1] not in self.documented):
            self.faults += [(line, it) for it in faults_of(self.statement, self.doc)]
        self.statement = ""
        self.doc = ""

    def open_scope(self, line):
        text = strip_angles(re.sub(r"^\s*template\s*<", "<", self.statement)).strip()
        text = re.sub(r"\[\[[^\]]*\]\]", "", text).strip()
        visible = self.scopes[-1][0]
        if re.match(r"(inline\s+)?namespace\b", text):
            visible = visible and "internal" not in text
        elif not re.match(r"(struct|union|class)\b", text) or "(" in text:
            visible = False
        is_class = re.match(r"class\b", text)
        self.end_statement(line)
        self.scopes.append((visible and not is_class, visible))

    def see_access(self):
        """Follows `public:` and its kin at the start of a statement."""
        while found := re.match(r"\s*(public|private|protected):(?!:)", self.statement):
            visible = self.scopes[-1][1]
            self.scopes[-1] = (visible and found.group(1) == "public", visible)
            self.statement = self.statement[found.end():]

    def scan(self, text):
        line = 1
        for token in TOKEN.findall(text):
            if token.startswith("/**"):
                self.doc = token
            elif token.startswith(("/*", "//")) or token.lstrip().startswith("#"):
                pass
            elif token == "{":
                self.open_scope(line)
            elif token == "}":
                self.scopes.pop()
                self.statement = ""
            elif token == ";":
                self.end_statement(line)
            else:
                self.statement += token
                self.see_access()
            line += token.count("\n")
        return self.faults


def main():
    count = status = 0
    for path in sorted((ROOT / "src").rglob("*.hpp")):
        if {"internal", "generated"} & set(path.parts):
            continue
        count += 1
        for line, fault in scanner().scan(path.read_text()):
            print(f"{path.relative_to(ROOT)}:{line}: {fault}")
            status = 1
    print(f"doxygen: {'faults' if status else 'clean'} ({count} headers)")
    sys.exit(status)


main()
