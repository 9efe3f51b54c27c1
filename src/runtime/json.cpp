// Boost.JSON, compiled once.
#include <boost/json/src.hpp>
