#include <core/finding.h>

#include <gtest/gtest.h>

namespace trefoil {

// Guards against findings that name a location but not the field, and against naming it twice.
TEST(Finding, TextNamesTheFieldOnce)
{
    EXPECT_EQ(toString({.file = "f", .line = 2, .column = 3, .message = "m", .field = "a[0].b"}),
              "f:2:3: a[0].b: m");
    EXPECT_EQ(toString({.file = "f", .message = "field \"a.b\" is missing", .field = "a.b"}),
              "f: field \"a.b\" is missing");
    EXPECT_EQ(toString({.file = "f", .line = 1, .column = 1, .message = "m"}), "f:1:1: m");
}

// Guards against a name in a document that looks like a finding of its own.
TEST(Finding, TextIsOneLine)
{
    EXPECT_EQ(toString({.file = "f", .line = 1, .column = 1, .message = "team \"a\nb\x7f\""}),
              "f:1:1: team \"a\\x0ab\\x7f\"");
}

} // namespace trefoil
