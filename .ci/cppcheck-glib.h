/* Definitions of GLib's test assertions, which cppcheck can't expand.  */
#define g_assert_cmpint(a, op, b) g_assert ((a)op (b))
#define g_assert_cmpuint(a, op, b) g_assert ((a)op (b))
#define g_assert_cmpfloat(a, op, b) g_assert ((a)op (b))
#define g_assert_cmpstr(a, op, b) g_assert (g_strcmp0 (a, b) op 0)
